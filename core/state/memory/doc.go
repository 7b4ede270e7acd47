// Package memory divides the memory of a process among what callers can make it hold, and keeps count of what they do.
//
// It answers the load of callers that keep to no limit: heads of very many lines, heads without an end, and connections,
// bodies and answers by the thousand, which together exceed the memory of the machine although each is allowed.
package memory

// Package crowd tests that callers that keep to no limit cannot end a node or make it exceed the memory and the descriptors
// of its host. Its tests start nodes as processes on loopback addresses and check nothing that depends on the machine's
// speed.
package crowd

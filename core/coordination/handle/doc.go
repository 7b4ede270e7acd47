// Package handle serves requests: the entry node admits a root request and sends it in one or more attempts to serving
// nodes, each of which runs the call at its upstream and returns the answer.
package handle

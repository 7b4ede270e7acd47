// Package cost learns how much work calls are at the upstream beside this node, by kind of call.
//
// It is designed for this load: calls that look alike differ in work by a factor of fifty, upstreams of one service
// differ in speed by a factor of three, some stall for a moment several times a second, and others become many times
// slower for some seconds. The work of a kind is kept as a distribution whose old part decays slowly, so that the rest
// of a call that has run for long is known to be long where the tail is heavy. How slow the upstream is at present,
// against what it has been, is kept apart as one factor over all kinds: it follows a slow upstream within about a
// second, averages over shorter stalls, and keeps both out of the distributions.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package cost

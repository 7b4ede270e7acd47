// Package rate divides the rate of a team among the hosts that its callers use.
//
// It is designed for this load: one team sends several times its rate to all hosts at once, and its callers are spread
// unevenly. One host, found by rendezvous hashing, divides the rate of a team: the other hosts report their demand to
// it and get a share of the rate in proportion. A host that loses contact keeps its last share, so that the two sides
// of a partition together do not admit much more than the rate. Admission waits for no message: until a report shows
// that a team is near its rate, each host admits up to the whole rate.
package rate

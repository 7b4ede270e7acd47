// Package rate divides the rate of a team among the hosts that its callers use.
//
// The load that it answers: one team sends several times its rate to all hosts at once, and its callers are spread
// unevenly. One host, found by rendezvous hashing, divides the rate of a team: the others report what they were asked
// for, and get a part in proportion. A host that loses contact keeps its last part, so that two sides of a partition
// together do not admit much more than the rate. Admission needs no message: until a report shows that a team is near
// its rate, each host admits up to the whole rate.
package rate

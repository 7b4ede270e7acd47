// Package rate keeps all hosts together within the rate and burst of each team.
//
// It is designed for this load: one team sends several times its rate to all hosts at once, and each of hundreds of
// hosts sees only a few of its requests. Whatever each host admits on its own adds up to a multiple of the rate, so a
// host admits a request only with a token that one host, the granter of the team, has taken from the team's token
// bucket. A host asks for a token when it needs one, and for a few more where its demand is steady. Rendezvous hashing
// names the granter; the next hosts in its order take over while it cannot be reached, with a nearly empty bucket,
// because they do not know what was granted before. A host that can reach no granter goes on admitting the part of the
// rate that it had.
package rate

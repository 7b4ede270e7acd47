// Package crash finds the request that crashes the upstreams that run it, among those in flight at a crash.
//
// A crash marks all requests in flight as suspects by fingerprint. A suspect runs only in a trial at the host that
// rendezvous hashing of its fingerprint names, so that the trials of many suspects run on all hosts in parallel:
//
//   - A suspect without strike shares its trial with a few others (group testing). An answer clears it. A crash gives
//     every member a strike, because any of them may be the cause.
//   - A suspect with a strike runs with no other suspect in flight. A crash then convicts it. Conviction needs this
//     second strike because the first may come from another request, or from an upstream that crashes by itself.
//   - A conviction blocks the fingerprint for its life of 10 minutes. After one minute one more solo trial is allowed,
//     so that an innocent request that two crashes hit by chance is not blocked for long.
//
// Bound: within its life a request that always crashes causes one crash for each copy that started before the state
// update reached its host (copies in flight at the first crash, and resends to hosts that the broadcast has not
// reached), plus at most 3 in trials: shared, solo, and the solo trial after a minute. A node that passes a suspect to
// its owner sends the state update first. A change of the owner can repeat a trial, because strikes stay at the owner.
// A request that ends with a timeout or a cancellation while the upstream lives is neither cleared nor given a strike.
package crash

// Package crash finds the request that crashes the upstreams that run it, among the requests in flight at a crash.
//
// A crash makes all requests in flight suspects, which are identified by fingerprint. A suspect runs only in a trial at
// its owner, the host that rendezvous hashing of its fingerprint selects, so that the trials of many suspects run on all
// hosts in parallel:
//
//   - A suspect without a strike shares its trial with a few others (group testing). An answer clears it. A crash gives
//     every suspect in the trial a strike, because any of them may be the cause.
//   - A suspect with a strike runs in a solo trial, with no other suspect in flight. A crash then blocks it. Blocking
//     requires this second crash because the first may have been caused by another request, or the upstream may crash
//     for reasons of its own.
//   - A blocked fingerprint is refused for Settings.EntryLifetime, 10 minutes. After Settings.Recheck, 1 minute, one
//     more solo trial is allowed, so that an innocent request that was in flight at two unrelated crashes is not
//     blocked for long.
//
// Bound: within Settings.EntryLifetime, a request that always crashes the upstream causes one crash for each copy that
// started before the state update reached its host (copies in flight at the first crash, and resends to hosts that the
// broadcast has not reached), plus at most 3 crashes in trials: the shared trial, the solo trial, and the solo trial
// after Settings.Recheck. A node that forwards a suspect to its owner sends the state update first. A change of the
// owner can repeat a trial, because only the owner that ran the trials knows the strikes. A request that ends with a
// timeout or a cancellation while the upstream keeps running is neither cleared nor given a strike.
package crash

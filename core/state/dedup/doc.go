// Package dedup runs each non-idempotent request with an idempotency key at most once across all hosts of its service.
//
// A key has one owner: the host that rendezvous hashing selects from the current membership, which is the published
// list of the service's hosts. Only the owner runs requests with the key, and only while it has a quorum: contact with a
// majority of the hosts of its current membership and of each earlier membership that may still be in use. An owner
// keeps a record of each key that it ran until Settings.Retention has passed after the end of the request. It cannot
// know what ran before its takeover, so it runs only keys whose UUIDv7 timestamp proves that they are younger, or any
// key once the retention has passed since the takeover.
//
// Takeover. After a host becomes the owner of a key and has a quorum, it waits before its takeover counts:
//
//   - Settings.AckLifetime: the former owner may have a quorum that rests on an ack which a host gave just before that
//     host moved to the new membership.
//   - Settings.Grace and another Settings.AckLifetime: a gap of at most Grace in a host's quorum does not end its
//     ownership, because no other host can take over, run a key and lose its own quorum within that time.
//
// A longer gap starts a new takeover, because another host may have been the owner in the meantime. This happens, for
// example, when restarted hosts read an older membership from a stale source.
//
// Assumption. The majorities of two memberships that are in use at the same time share a host, or a host that uses the
// later membership knows the earlier one. A table requires the majority of every earlier membership that it or a host
// that sent it an ack has seen within the retention, until that majority has once confirmed the later membership. The
// assumption fails when a majority of a service's hosts is replaced at the same time by hosts that have never been in
// contact with the old ones, while the old ones no longer receive the list but callers still reach them, or when such a
// state lasts longer than the retention.
package dedup

// Package hedge decides when an answer has probably been lost, so that an idempotent call is sent a second time.
//
// It is designed for this load: upstreams run calls whose answers never arrive, while a root request needs the answers
// of all its nested calls. Waiting for one lost answer until the deadline fails the whole root request.
package hedge

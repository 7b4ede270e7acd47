// Package fanout exchanges messages with the other hosts of a node's service: memberships, which the ownership of
// idempotency keys needs, and state updates of fingerprints that are suspected of crashing upstreams.
package fanout

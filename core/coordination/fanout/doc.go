// Package fanout keeps a node in contact with the other hosts of its service, for the ownership of idempotency keys
// and for requests that are suspected of crashing upstreams.
package fanout

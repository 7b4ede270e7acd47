// Package gate admits each call to the node's own upstream: it grants a slot immediately, queues the call until a
// slot is free, or refuses it.
package gate

// Package hedge decides when an answer has probably been lost, so that an idempotent call is sent once more.
//
// The load that it answers: upstreams run calls and their answers never arrive, while a root needs all of its many
// nested calls. Waiting for the deadline of one lost answer loses the whole root.
package hedge

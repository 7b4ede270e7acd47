// Package roster keeps the list of upstreams that a registry shows, and decides when an entry that has disappeared is
// taken as gone.
//
// Entries expire while their registry cannot be written to. After it has returned, the upstreams that live register
// again within two seconds, so an entry that is missing after an interruption is kept for that time.
package roster

// Package roster keeps the list of upstreams that a registry shows, and decides when the list can be believed.
//
// Entries expire while their registry cannot be reached by their writers. After it has returned, the upstreams that
// live register again within two seconds. A list that is read in that time lacks upstreams that live, so it is not
// published, and the list from before the interruption stays in force.
package roster

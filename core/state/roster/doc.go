// Package roster keeps the list of upstream instances read from the registry, and decides when it is complete enough to
// be published.
//
// Instances expire while they cannot reach the registry to renew their entries. Once it can be reached again, the
// instances that are still running register again within two seconds. A list read in that time lacks some of them, so
// it is not published, and the list from before the outage stays in force.
package roster

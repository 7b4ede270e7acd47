// Package share keeps every team within its rate and burst across all hosts. Each node uses a share of every rate under
// a lease, which it renews by exchanging contact messages with the other members of its rate group. Contacts with the
// hosts of its service show whether the node reaches a majority of those hosts. Nodes lend shares that they do not need
// to nodes that need more.
package share

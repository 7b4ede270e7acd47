// Package gossip keeps a node's configuration documents current. A few nodes of each failure domain, the watchers,
// watch the platform's configuration service. Every node offers the versions that it holds to a few neighbours, and
// pulls newer documents from the nodes that offer them. Offers also tell how long ago a node last read the platform
// itself, called a direct read; a node that knows of no recent direct read makes one.
package gossip

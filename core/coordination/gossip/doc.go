// Package gossip keeps a node's configuration current: a few watchers per failure domain read the platform,
// and every version spreads from node to node over a small overlay.
package gossip

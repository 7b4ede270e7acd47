// Package side assembles the node of a deployment whose callers sit on the hosts themselves and whose configuration
// service is reached through an adapter: proxy over mesh, gossip, front and back, with admin HTTP, metrics and logs.
package side

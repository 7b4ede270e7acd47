// Package quota limits the rate of every team on one node with token buckets over the node's share of the rate, and lends and borrows shares between nodes.
package quota

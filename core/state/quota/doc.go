// Package quota keeps one node's part of every team's rate: token buckets over shares, and loans of shares between nodes.
package quota

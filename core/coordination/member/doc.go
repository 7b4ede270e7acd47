// Package member keeps a node's view of all hosts: the published host list, corrected by what the node's own probes and
// calls show.
package member

// Package lease determines the share of a group's rates that a host may use, and whether the host is in contact with a majority of the group.
package lease

//go:build review

// Package rig holds the stand-ins of the review's scripts: a store, upstreams, callers, and nodes as separate processes of
// the built program. All addresses are loopback ones.
package rig

// Package share keeps every team within its rate and burst across all hosts: it exchanges contacts within the host groups and loans between their nodes.
package share

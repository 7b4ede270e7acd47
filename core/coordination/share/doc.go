// Package share keeps team rates and bursts across all hosts: it runs the contact of the host groups and the loans between their nodes.
package share

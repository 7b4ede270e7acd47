// Package node assembles a node that reads the configuration service over HTTP and holds shares of the teams' rates, and
// runs it until its context ends.
package node

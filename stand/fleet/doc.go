// Package fleet starts nodes and upstream stand-ins as processes on loopback, with stand-ins for the configuration service
// in its own process, for the demonstration and for tests of failures.
package fleet

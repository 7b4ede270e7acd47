// Package fleet starts nodes and upstream stand-ins as processes on loopback, with stand-ins for the configuration service
// in the calling process. The demonstration and the tests of failures use it.
package fleet

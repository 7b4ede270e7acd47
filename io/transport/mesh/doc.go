// Package mesh carries calls and control messages between nodes.
//
// A node dials one yamux session to each peer that it uses and accepts one from each peer that uses it. The first
// stream of a session carries Hello and then probes. The second is the lane: one stream that carries many short calls
// at a time, each as one numbered frame. Every other call and every control message has a stream of its own.
package mesh

// Package wire defines the messages that nodes exchange and their framing: each frame is one message, preceded by its
// length in four bytes, big-endian.
package wire

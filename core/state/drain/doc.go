// Package drain holds the state of a host's graceful shutdown, and decides until when the requests that arrive during it may
// last.
package drain

// Package route chooses the host that serves a call.
package route

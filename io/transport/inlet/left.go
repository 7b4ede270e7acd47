package inlet

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasLeft reports whether the caller has ended the connection behind bytes that are not read. It knows only what the kernel has
// received: an end behind more than the receive buffer has not arrived. Connections without a socket are never known to have
// ended.
func (con *Conn) hasLeft() bool {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false // closed; the next read fails
	}
	ended := false
	if raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // a descriptor
		count, pollErr := unix.Poll(polled, 0)
		ended = pollErr == nil && count > 0
	}) != nil {
		return false // closed; the next read fails
	}
	return ended
}

package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other side has closed or reset a connection.
func ClosedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil // Control fails on a connection that this side has closed
}

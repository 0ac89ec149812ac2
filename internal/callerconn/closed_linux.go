package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other side has closed or reset a connection.
func ClosedByPeer(raw syscall.RawConn) bool {
	closed, err := polled(raw, unix.POLLRDHUP)
	return closed || err != nil // Control fails on a connection that this side has closed
}

// Readable reports whether bytes or the end of a connection wait to be read.
func Readable(raw syscall.RawConn) bool {
	readable, err := polled(raw, unix.POLLIN)
	return readable && err == nil
}

// polled asks for an event of a connection, without waiting for it.
func polled(raw syscall.RawConn, event int16) (happened bool, err error) {
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: event}}
		n, err := unix.Poll(fds, 0)
		happened = err == nil && n > 0 && fds[0].Revents&(event|unix.POLLHUP|unix.POLLERR) != 0
	})
	return happened, err
}

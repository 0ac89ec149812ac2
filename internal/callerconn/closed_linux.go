package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the peer has closed or reset a connection.
func ClosedByPeer(raw syscall.RawConn) bool {
	closed, err := pollEvent(raw, unix.POLLRDHUP)
	return closed || err != nil // Control fails on a connection that this side has closed
}

// Readable reports whether a connection has unread bytes or has reached its end.
func Readable(raw syscall.RawConn) bool {
	readable, err := pollEvent(raw, unix.POLLIN)
	return readable && err == nil
}

// pollEvent reports whether an event of a connection has happened, without waiting for it.
func pollEvent(raw syscall.RawConn, event int16) (happened bool, err error) {
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: event}}
		n, err := unix.Poll(fds, 0)
		happened = err == nil && n > 0 && fds[0].Revents&(event|unix.POLLHUP|unix.POLLERR) != 0
	})
	return happened, err
}

// QueuedBytes returns the bytes that have arrived on a connection and were not read, and those
// that were written and not acknowledged by the peer. ok is false if they are unknown.
func QueuedBytes(raw syscall.RawConn) (unread, unsent int, ok bool) {
	var readErr, writeErr error
	err := raw.Control(func(fd uintptr) {
		unread, readErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		unsent, writeErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unread, unsent, err == nil && readErr == nil && writeErr == nil
}

// setResetOnClose sets whether a close of the connection, also by the end of the process,
// resets it. An error means that it is closed already.
func setResetOnClose(raw syscall.RawConn, on bool) {
	linger := unix.Linger{}
	if on {
		linger.Onoff = 1
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
}

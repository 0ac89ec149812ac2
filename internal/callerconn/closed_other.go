//go:build !linux

package callerconn

import "syscall"

// ClosedByPeer reports false: on this system, a disconnect is noticed only by reading.
func ClosedByPeer(syscall.RawConn) bool { return false }

// Readable reports false on this system.
func Readable(syscall.RawConn) bool { return false }

// QueuedBytes reports that the bytes are unknown on this system.
func QueuedBytes(syscall.RawConn) (unread, unsent int, ok bool) { return 0, 0, false }

// setResetOnClose does nothing on this system.
func setResetOnClose(syscall.RawConn, bool) {}

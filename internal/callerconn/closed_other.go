//go:build !linux

package callerconn

import "syscall"

// ClosedByPeer reports false: the end of a connection is heard by reading only.
func ClosedByPeer(syscall.RawConn) bool { return false }

// Readable reports nothing on this system.
func Readable(syscall.RawConn) bool { return false }

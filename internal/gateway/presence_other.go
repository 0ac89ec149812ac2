//go:build !linux

package gateway

import "syscall"

func closedByPeer(syscall.RawConn) bool { return false }

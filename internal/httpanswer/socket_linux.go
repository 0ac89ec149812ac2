package httpanswer

import (
	"net"

	"golang.org/x/sys/unix"
)

// closedInOrder reports whether the other side closed the connection and no error has ended it
// since. The kernel reports an error once: if a write got it, the next read sees an end. The
// state of the connection tells them apart.
func closedInOrder(c net.Conn) bool {
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	inOrder := false
	err := raw.Control(func(fd uintptr) { inOrder = otherSideClosed(int(fd)) })
	return err == nil && inOrder
}

func otherSideClosed(fd int) bool {
	if code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

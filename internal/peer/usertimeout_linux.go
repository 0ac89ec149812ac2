package peer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// unacknowledgedTimeout closes a connection whose data the other side does not
// acknowledge. Without it, a connection that a partition cut would be retried
// ever more rarely, and the peers would find each other late after the repair.
const unacknowledgedTimeout = time.Second

func setUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failure)
}

package peer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// unacknowledgedTimeout is the time after which a connection is closed if sent
// data is not acknowledged. Without it, retransmissions on a connection cut by a
// partition would back off, and the peers would reconnect late after the repair.
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

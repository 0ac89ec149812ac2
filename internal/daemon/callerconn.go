package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agatestep/agatestep/internal/egress"
)

// callerListener applies the timeouts of the configuration in force to callers'
// connections. Those of an http.Server cannot change while it serves.
type callerListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
	link     *egress.Link
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: l.link.Conn(c, egress.Answers), timeouts: l.timeouts}, nil
}

// callerConn replaces the read deadlines that an http.Server sets.
type callerConn struct {
	net.Conn
	timeouts func() (header, idle time.Duration)
	idle     atomic.Bool // the next deadline is that of an idle connection
}

// idleMargin is how much longer than stated a connection is kept, for requests
// that are on their way when the time is over.
const idleMargin = time.Second

// noteIdle is the ConnState of the server: it tells which deadline comes next.
func noteIdle(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok {
		cc.idle.Store(state == http.StateIdle)
	}
}

// SetReadDeadline implements net.Conn. The server sets a deadline in the future
// for an idle connection and for the headers of a request only.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) {
		header, idle := c.timeouts()
		switch wasIdle := c.idle.Swap(false); {
		case wasIdle && idle > 0:
			t = now.Add(idle + idleMargin)
		case !wasIdle && header > 0:
			t = now.Add(header)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

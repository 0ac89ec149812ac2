package egress

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Kind is what bytes are for.
type Kind uint8

// The kinds of bytes.
const (
	Answers Kind = iota // answers to callers
	Heads               // heads of requests to backend servers
	Bodies              // bodies of requests to backend servers
	Calls               // calls between hosts, and their answers
	kinds
)

var kindNames = [kinds]string{Answers: "answers", Heads: "heads", Bodies: "bodies", Calls: "calls"}

// String returns the name of k in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

const (
	// usable is the part of the link's bandwidth that is left beside the headers of
	// packets, acknowledgements and the opening of connections.
	usable = 0.9
	// slack is how long what was handed over may wait on the link before more counts as
	// crowding it. It covers timers that fire late.
	slack = 30 * time.Millisecond
)

// Link is the outgoing link of this host. It is safe for concurrent use. A nil Link is one
// of unknown bandwidth.
type Link struct {
	limiter *rate.Limiter
	sent    [kinds]atomic.Int64
	peak    atomic.Int64 // nanoseconds, since the last Take
}

// New returns a link of a bandwidth in bytes a second, or nil if it is not known.
func New(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	perSecond := usable * bytesPerSecond
	return &Link{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*slack.Seconds()), Chunk))}
}

// Chunk is the largest number of bytes that are accounted for at once.
const Chunk = 4 << 10

// Sent notes that n bytes were handed to the kernel.
func (l *Link) Sent(k Kind, n int) {
	if l == nil {
		return
	}
	l.sent[k].Add(int64(n))
	now := time.Now()
	for ; n > 0; n -= Chunk {
		l.limiter.ReserveN(now, min(n, Chunk))
	}
	l.note(now)
}

// note remembers the longest queue.
func (l *Link) note(now time.Time) {
	queue := int64(l.queueAt(now))
	for {
		peak := l.peak.Load()
		if queue <= peak || l.peak.CompareAndSwap(peak, queue) {
			return
		}
	}
}

// Queue estimates how long a byte that is handed over now waits on the link.
func (l *Link) Queue() time.Duration {
	if l == nil {
		return 0
	}
	return l.queueAt(time.Now())
}

func (l *Link) queueAt(now time.Time) time.Duration {
	waiting := float64(l.limiter.Burst()) - l.limiter.TokensAt(now)
	return time.Duration(max(waiting, 0) / float64(l.limiter.Limit()) * float64(time.Second))
}

// Usage is what was sent over a link.
type Usage struct {
	// Bytes by kind, since the start.
	Bytes map[string]int64
	// Peak is the longest queue since the last Take.
	Peak time.Duration
}

// Take returns the usage and begins a new peak.
func (l *Link) Take() Usage {
	u := Usage{Bytes: map[string]int64{}}
	if l == nil {
		return u
	}
	for k := range kinds {
		u.Bytes[k.String()] = l.sent[k].Load()
	}
	u.Peak = time.Duration(l.peak.Swap(0))
	return u
}

// Conn returns a connection whose written bytes are accounted for.
func (l *Link) Conn(c net.Conn, k Kind) net.Conn {
	if l == nil {
		return c
	}
	return &conn{Conn: c, link: l, kind: k}
}

type conn struct {
	net.Conn
	link *Link
	kind Kind
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.Sent(c.kind, n)
	return n, err
}

package egress

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Kind is the kind of traffic that bytes belong to.
type Kind uint8

// The kinds of traffic.
const (
	Responses     Kind = iota // responses to callers
	RequestHeads              // heads of requests to backend servers
	RequestBodies             // bodies of requests to backend servers
	HostCalls                 // calls between hosts, and their replies
	numKinds
)

var kindNames = [numKinds]string{Responses: "answers", RequestHeads: "heads", RequestBodies: "bodies", HostCalls: "calls"}

// String returns the name of k in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

const (
	// usableShare is the share of the link's bandwidth that remains for payload, beside
	// packet headers, acknowledgements and connection setup.
	usableShare = 0.9
	// queueTolerance is how long written bytes may wait on the link before they count as a
	// queue. It covers timers that fire late.
	queueTolerance = 30 * time.Millisecond
)

// Link is the outgoing link of this host. It is safe for concurrent use. A nil Link has
// an unknown bandwidth and records nothing.
type Link struct {
	limiter   *rate.Limiter
	sentBytes [numKinds]atomic.Int64
	peakQueue atomic.Int64 // nanoseconds, since the last TakeUsage
	inbound   *Link        // nil if the incoming direction is not estimated
}

// Inbound returns an estimate of the incoming direction, and keeps it from now on: a host that
// forwards gets what it sends, except the bodies of requests, which are recorded when they are read.
// It must be called before the first byte is sent. It is nil for a nil Link.
func (l *Link) Inbound() *Link {
	if l == nil {
		return nil
	}
	if l.inbound == nil {
		l.inbound = New(l.BytesPerSecond() / usableShare)
	}
	return l.inbound
}

// BytesPerSecond returns the bandwidth for payload.
func (l *Link) BytesPerSecond() float64 { return float64(l.limiter.Limit()) }

// OtherBytes returns the number of bytes since the start that are no bodies of requests.
func (l *Link) OtherBytes() int64 {
	n := int64(0)
	for k := range numKinds {
		if k != RequestBodies {
			n += l.sentBytes[k].Load()
		}
	}
	return n
}

// New returns a link with a bandwidth in bytes per second, or nil if the bandwidth is not
// above zero, which means unknown.
func New(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	perSecond := usableShare * bytesPerSecond
	return &Link{limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*queueTolerance.Seconds()), chunkBytes))}
}

// chunkBytes is the largest number of bytes that the limiter accounts for at once.
const chunkBytes = 4 << 10

// RecordSent records that n bytes were written to the kernel.
func (l *Link) RecordSent(k Kind, n int) {
	if l == nil {
		return
	}
	if l.inbound != nil && k != RequestBodies {
		l.inbound.RecordSent(k, n)
	}
	l.sentBytes[k].Add(int64(n))
	now := time.Now()
	for ; n > 0; n -= chunkBytes {
		l.limiter.ReserveN(now, min(n, chunkBytes))
	}
	l.recordPeak(now)
}

// recordPeak raises the peak to the queue at now, if that is longer.
func (l *Link) recordPeak(now time.Time) {
	queue := int64(l.queueDelayAt(now))
	for {
		peak := l.peakQueue.Load()
		if queue <= peak || l.peakQueue.CompareAndSwap(peak, queue) {
			return
		}
	}
}

// QueueDelay estimates how long a byte that is written now waits on the link. It is zero for a
// nil Link.
func (l *Link) QueueDelay() time.Duration {
	if l == nil {
		return 0
	}
	return l.queueDelayAt(time.Now())
}

func (l *Link) queueDelayAt(now time.Time) time.Duration {
	queuedBytes := float64(l.limiter.Burst()) - l.limiter.TokensAt(now)
	return time.Duration(max(queuedBytes, 0) / float64(l.limiter.Limit()) * float64(time.Second))
}

// Usage describes the use of a link.
type Usage struct {
	// Bytes is the number of bytes sent since the start, by kind.
	Bytes map[string]int64
	// PeakQueueDelay is the longest queue delay since the last TakeUsage, and PeakInboundDelay
	// that of the incoming direction if it is estimated.
	PeakQueueDelay, PeakInboundDelay time.Duration
}

// TakeUsage returns the usage and resets the peak queue delay.
func (l *Link) TakeUsage() Usage {
	u := Usage{Bytes: map[string]int64{}}
	if l == nil {
		return u
	}
	for k := range numKinds {
		u.Bytes[k.String()] = l.sentBytes[k].Load()
	}
	u.PeakQueueDelay = time.Duration(l.peakQueue.Swap(0))
	if l.inbound != nil {
		u.PeakInboundDelay = time.Duration(l.inbound.peakQueue.Swap(0))
	}
	return u
}

// Conn wraps c so that the bytes written to it are recorded as sent. It returns c itself
// for a nil Link.
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
	c.link.RecordSent(c.kind, n)
	return n, err
}

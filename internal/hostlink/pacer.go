package hostlink

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/egress"
)

const (
	// maxQueue is the queue on the link up to which bodies pass. It is a small part of the time
	// in which requests of the highest priority are answered.
	maxQueue = 30 * time.Millisecond
	// floorShare is the share of the link that bodies get also while the rest is full, so that
	// uploads do not starve.
	floorShare = 0.25
	// chunk is the largest number of bytes that pass at once. A body that is not larger passes
	// without a wait, like the head of its request.
	chunk = 4 << 10
	// minPause and maxPause bound the wait until the queue is looked at again.
	minPause, maxPause = time.Millisecond, 20 * time.Millisecond
	// rateWindow is the time over which the rate of other traffic is measured, and rateWeight the
	// weight of the latest measurement.
	rateWindow = 200 * time.Millisecond
	rateWeight = 0.3
	// assumedOtherShare is the share of the link that other traffic is assumed to take at first.
	assumedOtherShare = 0.3
)

// Pacer lets bodies pass one direction of a link. It is safe for concurrent use.
type Pacer struct {
	link  *egress.Link
	floor *rate.Limiter

	mu        sync.Mutex
	transfers map[*Transfer]struct{}
	timer     *time.Timer // runs while a transfer waits
	other     otherTraffic
}

// otherTraffic measures the rate of what passes the link besides bodies.
type otherTraffic struct {
	bytes int64
	at    time.Time
	rate  float64 // bytes per second
}

// update takes the number of bytes that have passed since the start.
func (o *otherTraffic) update(now time.Time, bytes int64) {
	age := now.Sub(o.at)
	switch {
	case o.at.IsZero():
		o.bytes, o.at = bytes, now
	case age >= rateWindow:
		o.rate += rateWeight * (float64(bytes-o.bytes)/age.Seconds() - o.rate)
		o.bytes, o.at = bytes, now
	}
}

// New returns a pacer, or nil if the bandwidth of the link is not known. A nil Pacer lets everything
// pass at once.
func New(link *egress.Link) *Pacer {
	if link == nil {
		return nil
	}
	return &Pacer{link: link, floor: rate.NewLimiter(rate.Limit(floorShare*link.BytesPerSecond()), chunk), transfers: map[*Transfer]struct{}{},
		other: otherTraffic{rate: assumedOtherShare * link.BytesPerSecond()}}
}

// Transfer is one body on its way. A nil Transfer passes at once.
type Transfer struct {
	pacer *Pacer
	body  Body
	small bool // the whole body is not larger than a chunk
	// next is the number of bytes that wait to pass, and ready is closed when they may.
	next  int
	ready chan struct{}
}

// Begin announces a body. End must be called once it has passed or is given up.
func (p *Pacer) Begin(b Body) *Transfer {
	if p == nil {
		return nil
	}
	t := &Transfer{pacer: p, body: b, small: b.Left >= 0 && b.Left <= chunk}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transfers[t] = struct{}{}
	return t
}

// End forgets a body and ends its wait. It may be called more than once.
func (t *Transfer) End() {
	if t == nil {
		return
	}
	t.pacer.mu.Lock()
	defer t.pacer.mu.Unlock()
	delete(t.pacer.transfers, t)
	if t.ready != nil {
		close(t.ready)
		t.ready = nil
	}
}

// Wait waits until the next n bytes of the body may pass, and accounts for them. It fails if ctx ends
// first.
func (t *Transfer) Wait(ctx context.Context, n int) error {
	if t == nil || n <= 0 {
		return nil
	}
	p := t.pacer
	p.mu.Lock()
	if _, ok := p.transfers[t]; !ok || t.small {
		t.pass(n)
		p.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	t.next, t.ready = n, ready
	p.dispatch(time.Now())
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		t.ready = nil
		return ctx.Err()
	}
}

// Account accounts for the last n bytes of the body, which have passed.
func (t *Transfer) Account(n int) {
	if t == nil || n <= 0 {
		return
	}
	t.pacer.mu.Lock()
	defer t.pacer.mu.Unlock()
	t.pass(n)
}

// pass accounts for n bytes that pass. The caller holds the mutex of the pacer.
func (t *Transfer) pass(n int) {
	t.pacer.link.RecordSent(egress.RequestBodies, n)
	if t.body.Left >= 0 {
		t.body.Left = max(t.body.Left-int64(n), 0)
	}
}

// dispatch lets bodies pass while there is room. The caller holds p.mu.
func (p *Pacer) dispatch(now time.Time) {
	for {
		first := p.first(now)
		if first == nil {
			return
		}
		if !p.mayPass(now, first) {
			p.lookAgain(now)
			return
		}
		first.pass(first.next)
		close(first.ready)
		first.ready = nil
	}
}

// first returns the transfer that passes next among those that wait, or nil.
func (p *Pacer) first(now time.Time) *Transfer {
	var first *Transfer
	bytesPerSecond := p.bodyRate(now)
	for t := range p.transfers {
		if t.ready != nil && (first == nil || t.body.precedes(&first.body, now, bytesPerSecond)) {
			first = t
		}
	}
	return first
}

func (p *Pacer) mayPass(now time.Time, t *Transfer) bool {
	return p.link.QueueDelay() <= maxQueue || p.floor.AllowN(now, min(t.next, chunk))
}

// lookAgain dispatches again when the queue may have become short enough.
func (p *Pacer) lookAgain(now time.Time) {
	pause := min(max(p.link.QueueDelay()-maxQueue, minPause), maxPause)
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch(time.Now())
	})
}

// bodyRate estimates how many bytes of bodies pass in a second beside the other traffic.
func (p *Pacer) bodyRate(now time.Time) float64 {
	p.other.update(now, p.link.OtherBytes())
	return max(p.link.BytesPerSecond()-p.other.rate, floorShare*p.link.BytesPerSecond())
}

// LateBy returns by how much a body passes too late to be read, or zero if it passes in time, and the
// time that it takes on the link. own is its transfer if it has one already.
func (p *Pacer) LateBy(b Body, own *Transfer) (late, pass time.Duration) {
	if p == nil {
		return 0, 0
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	bytesPerSecond := p.bodyRate(now)
	others := make([]*Body, 0, len(p.transfers))
	for t := range p.transfers {
		if t != own && now.Before(t.body.Deadline) {
			others = append(others, &t.body)
		}
	}
	return b.lateBy(now, others, bytesPerSecond), passTime(b.Left, bytesPerSecond)
}

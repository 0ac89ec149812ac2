package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/table"
)

const (
	// minTrialInterval and maxTrialInterval bound the time between two requests that this host
	// sends to a server at whose address another process may be; the interval doubles with each.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = 500 * time.Millisecond
	// unkeyedTrialAfter is the time after the last misdirected response from which on a server of a
	// service without keys is chosen like others: others can serve its requests, and a trial that
	// fails costs a repeat.
	unkeyedTrialAfter = 5 * time.Second
)

// presence is what a host knows about whether a backend server is at the address that the table
// gives for it. The table names a server until its lease has ended, and another process may get
// the address before that. All that a response from there shows is whether its sender has the
// name of the server: a server that does not hold a key gives the same response as another
// process. They are told apart by time, since an address is not given to another process until
// some time after the end of the last one.
//
// While the server is in doubt, it gets single requests as trials, of which one may be a repeat: a
// repeat counts against the retry budget of the service whose server gets it, which may be any.
//
// It is not safe for concurrent use.
type presence struct {
	// seenAt is the latest time at which the server is known to have been at its address.
	seenAt time.Time
	// misdirected counts the responses of possibly another process since the server was seen;
	// above zero, the server is in doubt. lastMisdirected is when the last one arrived.
	misdirected     int
	doubtedAt       time.Time
	lastMisdirected time.Time
	nextTrial       time.Time
	// epoch is the highest epoch of a slice for which a trial was sent, repeated whether one of
	// the trials was a repeat.
	epoch    uint64
	repeated bool
}

// sendKind is what a request is to the server that it is sent to.
type sendKind uint8

const (
	firstAttempt sendKind = iota
	// repeatedAttempt is charged to the retry budget of its service.
	repeatedAttempt
	// repeatedTrial is charged to the retry budgets of all services.
	repeatedTrial
)

// recordOwn records a response of the server itself to a request that was written at the given
// time. It reports whether that ended a doubt: the server was there so recently that the
// misdirected responses were its own.
func (p *presence) recordOwn(written time.Time, reuseAfter time.Duration) (doubtEnded bool) {
	if written.After(p.seenAt) {
		p.seenAt = written
	}
	if p.misdirected == 0 || !p.lastMisdirected.Before(p.seenAt.Add(reuseAfter)) {
		return false
	}
	p.misdirected = 0
	return true
}

// recordMisdirected records a response that says that a request was meant for another server.
// It reports whether the server is in doubt only since then.
func (p *presence) recordMisdirected(now time.Time, epoch uint64, reuseAfter time.Duration) (doubtBegan bool) {
	if !p.seenAt.IsZero() && now.Before(p.seenAt.Add(reuseAfter)) {
		return false
	}
	p.lastMisdirected = now
	p.misdirected++
	if p.misdirected > 1 {
		return false
	}
	p.doubtedAt, p.repeated = now, false
	p.scheduleTrial(now, epoch)
	return true
}

func (p *presence) inDoubt() bool { return p.misdirected > 0 }

// probablyGone reports whether another process is probably at the address: a server that is about
// to get a key with the reply to a heartbeat would not have refused the trial as well.
func (p *presence) probablyGone() bool { return p.misdirected > 1 }

// sinceSeen returns how long ago the server is known to have been at its address, or -1s if that
// is not known.
func (p *presence) sinceSeen(now time.Time) time.Duration {
	if p.seenAt.IsZero() {
		return -time.Second
	}
	return now.Sub(p.seenAt)
}

// maySend reports whether a request for a slice of the given epoch may be sent to the server, and
// when the next trial is due if not. A later grant than that of the last trial was made since, so
// that the server may be there again.
func (p *presence) maySend(now time.Time, epoch uint64, kind sendKind) (wait time.Duration, ok bool) {
	due := epoch > p.epoch || !now.Before(p.nextTrial)
	switch {
	case !p.inDoubt():
		return 0, true
	case due && (kind == firstAttempt || kind == repeatedTrial && !p.repeated):
		return 0, true
	}
	return max(p.nextTrial.Sub(now), minTrialInterval), false
}

// reserve is maySend for a request that is written next. A trial keeps others from being sent
// before the next one is due.
func (p *presence) reserve(now time.Time, epoch uint64, kind sendKind) (ok bool) {
	if _, ok = p.maySend(now, epoch, kind); ok && p.inDoubt() {
		p.repeated = p.repeated || kind == repeatedTrial
		p.scheduleTrial(now, epoch)
	}
	return ok
}

func (p *presence) scheduleTrial(now time.Time, epoch uint64) {
	interval := minTrialInterval << min(p.misdirected-1, 8)
	p.nextTrial = now.Add(min(interval, maxTrialInterval))
	p.epoch = max(p.epoch, epoch)
}

func (s *server) inDoubt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.presence.inDoubt()
}

// avoided reports whether a call without a key is sent to other servers because another process may
// be at the address of this one.
func (s *server) avoided(now time.Time, c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.presence
	return p.inDoubt() && (c.sends > 0 || now.Before(p.nextTrial) || now.Sub(p.lastMisdirected) < unkeyedTrialAfter)
}

// maySend reports whether a call may be sent to the server now, and how long to wait if not.
func (s *server) maySend(now time.Time, epoch uint64, c *call) (wait time.Duration, ok bool) {
	kind := firstAttempt
	if c.sends > 0 {
		kind = repeatedTrial
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.presence.maySend(now, epoch, kind)
}

// probablyGone reports whether another process is probably at the address of the server.
func (s *server) probablyGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.presence.probablyGone()
}

func (s *server) sinceOwnAnswer(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.presence.sinceSeen(now)
}

// reserveSend reports whether a call may be written to its target, at whose address another
// process may be.
func (g *Gateway) reserveSend(c *call, t target) bool {
	s, now := g.server(t.backend), g.cfg.Clock.Now()
	s.mu.Lock()
	ok := s.presence.reserve(now, t.slice.Epoch, c.sendKind)
	doubt := s.presence
	s.mu.Unlock()
	if ok && doubt.inDoubt() {
		g.counters.Doubts.Add("trial", 1)
		g.cfg.Logger.Info("trial of a backend server in doubt", append(c.logFields(), doubtFields(t.backend, doubt, now)...)...)
	}
	return ok
}

// recordPresence records what a response shows of who is at the address of a call's target.
// A refusal for another reason may come from any process.
func (g *Gateway) recordPresence(c *call, t target, s *server, info ResponseInfo, now time.Time) {
	reuseAfter := g.cfg.Limits.AddressReuseAfter
	began, ended := false, false
	s.mu.Lock()
	doubt := s.presence
	switch {
	case info.Misdirected:
		began = s.presence.recordMisdirected(now, t.slice.Epoch, reuseAfter)
		doubt = s.presence
	case !info.NotRun:
		ended = s.presence.recordOwn(c.writtenAt, reuseAfter)
	}
	s.mu.Unlock()
	switch {
	case began:
		g.counters.Doubts.Add("began", 1)
		g.cfg.Logger.Info("another process may be at the address of a backend server", append(c.logFields(), doubtFields(t.backend, doubt, now)...)...)
	case ended:
		g.counters.Doubts.Add("ended", 1)
		g.cfg.Logger.Info("backend server in doubt is at its address", append(c.logFields(), doubtFields(t.backend, doubt, now)...)...)
	}
}

// spendTrialRetry charges a repeat that may reach a server of any service to the retry budgets of
// all services but the given one, which is charged for every repeat.
func (g *Gateway) spendTrialRetry(own string) bool {
	allowed := true
	for _, s := range g.cfg.Tables().Services() {
		if service := s.File.Service; service != own {
			allowed = g.retryBudget(service).TrySpend() && allowed
		}
	}
	return allowed
}

func doubtFields(b *table.Backend, p presence, now time.Time) []zap.Field {
	return []zap.Field{zap.String("backend", b.Name), zap.Int64("born", b.Born), zap.String("address", b.Address),
		zap.Uint64("epoch", p.epoch), zap.Duration("since_own_answer", p.sinceSeen(now)), zap.Duration("in_doubt", now.Sub(p.doubtedAt)),
		zap.Int("misdirected", p.misdirected), zap.Duration("next_trial_in", p.nextTrial.Sub(now))}
}

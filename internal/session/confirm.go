package session

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/freshness"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// maxSilentRounds is the number of rounds of barrier requests that the table source may
	// leave unanswered while other control hosts answer.
	maxSilentRounds = 3
	// maxBehind is how long the table may lack a change that another control host knows
	// while the table source does not. It is also the least time between two switches that
	// checkTableSource makes.
	maxBehind = time.Second
)

// barrierAnswers holds the answers of control hosts to barrier requests, which bound the
// age of the table.
type barrierAnswers struct {
	mu            sync.Mutex
	confirmations freshness.Confirmations
	votersByHash  map[uint64][]string  // voters that control hosts named, by their hash
	lastAnswered  map[string]time.Time // by address: when the latest answered request was sent
	barriers      map[string]uint64    // by address: barrier in the answer to that request
	switchedAt    time.Time
}

// confirmLoop asks all control hosts, at each ConfirmInterval, which revision the table must
// have reached. These requests and answers are small and do not wait behind tables in
// transit.
func (s *Session) confirmLoop(ctx context.Context) {
	if s.cfg.ConfirmInterval <= 0 {
		return
	}
	ticker := time.NewTicker(s.cfg.ConfirmInterval)
	defer ticker.Stop()
	for {
		for _, address := range s.barrierTargets() {
			go s.requestBarrier(ctx, address)
		}
		s.checkTableSource()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Session) barrierTargets() []string {
	if known := s.ControlHosts(); len(known) > 0 {
		return known
	}
	var out []string
	for _, r := range *s.seeds.Load() {
		out = append(out, r.Address)
	}
	return out
}

// requestBarrier requests the barrier of one control host.
func (s *Session) requestBarrier(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	sent := s.cfg.Clock.Now()
	var reply wire.BarrierReply
	request := wire.BarrierRequest{Group: s.votersHash.Load(), AskDataCentre: s.cfg.NearbyTables && !s.dataCentres.knows(address)}
	if err := s.cfg.Caller.Call(ctx, address, wire.MethodTableBarrier, request, &reply); err != nil {
		s.cfg.Logger.Debug("barrier request failed; the next round asks again", zap.String("control_host", address), logging.Error(err))
		return
	}
	if reply.DataCentre != "" {
		s.dataCentres.set(address, reply.DataCentre)
	}
	s.recordBarrier(address, sent, reply)
}

// recordBarrier adds an answer. Answers that arrive out of order count as well.
func (s *Session) recordBarrier(address string, sent time.Time, reply wire.BarrierReply) {
	c := &s.barrierAnswers
	c.mu.Lock()
	if len(reply.Voters) > 0 {
		c.votersByHash[reply.Group] = reply.Voters
		s.votersHash.Store(reply.Group)
	}
	if voters, known := c.votersByHash[reply.Group]; known {
		c.confirmations.Add(freshness.BarrierAnswer{SentAt: sent, Replica: reply.Replica, Voters: voters, Barrier: reply.Barrier})
	}
	if sent.After(c.lastAnswered[address]) {
		c.lastAnswered[address], c.barriers[address] = sent, reply.Barrier
	}
	c.mu.Unlock()
	s.updateAsOf()
}

// updateAsOf recomputes the time as of which the table is current.
func (s *Session) updateAsOf() {
	c := &s.barrierAnswers
	c.mu.Lock()
	asOf := c.confirmations.AsOf(s.Table().Revision())
	later := asOf.After(*s.asOf.Load())
	s.asOf.Store(&asOf)
	c.mu.Unlock()
	if later && s.cfg.OnConfirmed != nil {
		s.cfg.OnConfirmed()
	}
}

// tableSource returns the address of the control host to watch. Any replica can send
// tables, because it applies only committed entries, and the barriers tell how old they
// are. So with WatchAnyReplica each entry host selects a control host by rendezvous order,
// and the leader serves only its share of the entry hosts.
func (s *Session) tableSource() string {
	control := s.ControlHosts()
	if !s.cfg.WatchAnyReplica || len(control) == 0 {
		return s.watchLeader.get()
	}
	order := permit.RankIssuers(control, s.cfg.Host.Host)
	if s.cfg.NearbyTables {
		order = s.dataCentres.nearestFirst(order, s.cfg.Host.DataCentre)
	}
	return order[int(s.sourceSwitches.Load())%len(order)]
}

// checkTableSource switches to another control host when the current one does not answer
// while others do, or lacks changes that others know.
func (s *Session) checkTableSource() {
	if !s.cfg.WatchAnyReplica {
		return
	}
	now := s.cfg.Clock.Now()
	source := s.tableSource()
	c := &s.barrierAnswers
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.switchedAt) < maxBehind {
		return
	}
	silent := now.Sub(c.lastAnswered[source]) > maxSilentRounds*s.cfg.ConfirmInterval && now.Sub(*s.asOf.Load()) < maxSilentRounds*s.cfg.ConfirmInterval
	revision := s.Table().Revision()
	since, behind := c.confirmations.Behind(revision)
	// A source that knows the change is sending it already: a switch would restart the
	// transfer.
	behind = behind && now.Sub(since) > maxBehind && c.barriers[source] <= revision
	if !silent && !behind {
		return
	}
	c.switchedAt = now
	s.cfg.Logger.Info("tables are asked for elsewhere", zap.String("control_host", source), zap.Bool("silent", silent), zap.Bool("behind", behind),
		zap.Uint64("revision", revision), zap.Duration("table_age", now.Sub(*s.asOf.Load())))
	s.switchTableSource()
}

// switchTableSource moves the watch to another control host immediately.
func (s *Session) switchTableSource() {
	s.sourceSwitches.Add(1)
	s.interruptWatch()
}

// interruptWatch cancels the pending watch.
func (s *Session) interruptWatch() {
	next := make(chan struct{})
	close(*s.watchInterrupt.Swap(&next))
}

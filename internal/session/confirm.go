package session

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/confirm"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// silentRounds is the number of rounds of questions that the control host which sends
	// the tables may leave unanswered while others answer.
	silentRounds = 3
	// behindPatience is how long the table may lack a change that the control host which
	// sends the tables does not know, while another one does.
	behindPatience = time.Second
)

// confirmations is what control hosts said about the age of the table.
type confirmations struct {
	mu       sync.Mutex
	answers  confirm.Confirmations
	voters   map[uint64][]string  // by the hash that names them
	answered map[string]time.Time // when the last question was sent that an address answered
	barriers map[string]uint64    // in these answers
	turnedAt time.Time
}

// confirmLoop asks all control hosts which revision the table must have. The questions
// and answers are small and do not wait for tables on their way.
func (s *Session) confirmLoop(ctx context.Context) {
	if s.cfg.ConfirmInterval <= 0 {
		return
	}
	ticker := time.NewTicker(s.cfg.ConfirmInterval)
	defer ticker.Stop()
	for {
		for _, address := range s.confirmers() {
			go s.confirmBy(ctx, address)
		}
		s.reviewSource()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Session) confirmers() []string {
	if known := s.ControlHosts(); len(known) > 0 {
		return known
	}
	var out []string
	for _, r := range *s.seeds.Load() {
		out = append(out, r.Address)
	}
	return out
}

// confirmBy asks one control host.
func (s *Session) confirmBy(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	sent := s.cfg.Clock.Now()
	var reply wire.BarrierReply
	if err := s.cfg.Caller.Call(ctx, address, wire.MethodTableBarrier, wire.BarrierAsk{Group: s.group.Load()}, &reply); err != nil {
		s.cfg.Logger.Debug("table not confirmed; the next round asks again", zap.String("control_host", address), logging.Error(err))
		return
	}
	s.confirmed(address, sent, reply)
}

// confirmed takes an answer in. Answers to questions that were overtaken count as well.
func (s *Session) confirmed(address string, sent time.Time, reply wire.BarrierReply) {
	c := &s.confirmations
	c.mu.Lock()
	if len(reply.Voters) > 0 {
		c.voters[reply.Group] = reply.Voters
		s.group.Store(reply.Group)
	}
	if voters, known := c.voters[reply.Group]; known {
		c.answers.Add(confirm.Answer{Asked: sent, Replica: reply.Replica, Voters: voters, Barrier: reply.Barrier})
	}
	if sent.After(c.answered[address]) {
		c.answered[address], c.barriers[address] = sent, reply.Barrier
	}
	c.mu.Unlock()
	s.reviewAge()
}

// reviewAge computes anew as of when the table is current.
func (s *Session) reviewAge() {
	c := &s.confirmations
	c.mu.Lock()
	asOf := c.answers.AsOf(s.Table().Revision())
	later := asOf.After(*s.asOf.Load())
	s.asOf.Store(&asOf)
	c.mu.Unlock()
	if later && s.cfg.OnConfirmed != nil {
		s.cfg.OnConfirmed()
	}
}

// source returns the control host from which to ask for tables. Any replica can send
// them, because what it has applied is committed; the confirmations tell how old they are.
// So each entry host has a control host of its own, and the leader has its share.
func (s *Session) source() string {
	control := s.ControlHosts()
	if !s.cfg.FollowAny || len(control) == 0 {
		return s.followed.get()
	}
	order := permit.Order(control, s.cfg.Host.Host)
	return order[int(s.turns.Load())%len(order)]
}

// reviewSource turns to another control host when the present one is silent while others
// answer, or does not know what others know.
func (s *Session) reviewSource() {
	if !s.cfg.FollowAny {
		return
	}
	now := s.cfg.Clock.Now()
	source := s.source()
	c := &s.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.turnedAt) < behindPatience {
		return
	}
	silent := now.Sub(c.answered[source]) > silentRounds*s.cfg.ConfirmInterval && now.Sub(*s.asOf.Load()) < silentRounds*s.cfg.ConfirmInterval
	revision := s.Table().Revision()
	since, behind := c.answers.Behind(revision)
	// One that knows the change is sending it: asking elsewhere would begin anew.
	behind = behind && now.Sub(since) > behindPatience && c.barriers[source] <= revision
	if !silent && !behind {
		return
	}
	c.turnedAt = now
	s.cfg.Logger.Info("tables are asked for elsewhere", zap.String("control_host", source), zap.Bool("silent", silent), zap.Bool("behind", behind),
		zap.Uint64("revision", revision), zap.Duration("table_age", now.Sub(*s.asOf.Load())))
	s.turn()
}

// turn makes the watch ask another control host at once.
func (s *Session) turn() {
	s.turns.Add(1)
	s.interruptWatch()
}

// interruptWatch ends the watch that is under way.
func (s *Session) interruptWatch() {
	next := make(chan struct{})
	close(*s.turned.Swap(&next))
}

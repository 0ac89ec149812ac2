package daemon

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/agatestep/agatestep/internal/allowance"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/gateway"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

const (
	// lendInterval is the average time between two calls to the lender until it states one,
	// lendBurst the number of calls that may follow each other at once.
	lendInterval = 100 * time.Millisecond
	lendBurst    = 3
	// lendTimeout bounds a call. Most loans would be over after a longer one.
	lendTimeout = 400 * time.Millisecond
	// maxLendAttempts is the number of control hosts that are asked in turn while none lends,
	// and lendPause the time until they are asked again.
	maxLendAttempts = 2
	lendPause       = 200 * time.Millisecond
	// lenderSilence is how long no control host has lent before requests are refused at once.
	lenderSilence = 2 * time.Second
	// noLenderRetryAfter is the Retry-After meanwhile: an election takes about as long.
	noLenderRetryAfter = 800 * time.Millisecond
	// freezeThreshold is the delay of a wake-up from which it is logged what expired.
	freezeThreshold = 500 * time.Millisecond
)

// allowanceCounters count decisions about allowances: granted at once, granted after the
// lender was asked, denied, without a lender; and calls to the lender.
var allowanceCounters = expvar.NewMap("agatestep_allowances")

// allowanceConfig configures an allowanceClient.
type allowanceConfig struct {
	host   string
	caller session.Caller
	// clock goes on while the machine is suspended.
	clock clock.Clock
	// leader returns the probable leader, and controlHosts all control hosts, as peer addresses.
	leader       func() string
	controlHosts func() []string
	logger       *zap.Logger
}

// allowanceClient grants the requests of organisations from what the leader lends to this
// host. It is safe for concurrent use.
type allowanceClient struct {
	cfg   allowanceConfig
	pace  *rate.Limiter
	wakes chan struct{}

	mu      sync.Mutex
	holder  *allowance.Holder
	replied chan struct{} // closed by the next reply of the lender
	// askNext is the control host to ask next, lender the one that lent last.
	askNext, lender string
	// lastReply is when the lender replied last; failing is when calls began to fail since.
	lastReply, failing time.Time
}

var _ gateway.AllowanceClient = (*allowanceClient)(nil)

func newAllowanceClient(cfg allowanceConfig) *allowanceClient {
	return &allowanceClient{cfg: cfg, pace: rate.NewLimiter(rate.Every(lendInterval), lendBurst), wakes: make(chan struct{}, 1),
		holder: allowance.NewHolder(), replied: make(chan struct{})}
}

// Admit implements gateway.AllowanceClient.
func (a *allowanceClient) Admit(ctx context.Context, organisation string, maxWait time.Duration) (allowance.Ticket, time.Duration, *verdict.Error) {
	a.mu.Lock()
	now := a.cfg.clock.Now()
	ticket, answer, retry := a.holder.Take(now, organisation)
	if answer == allowance.Granted {
		a.mu.Unlock()
		allowanceCounters.Add("granted", 1)
		return ticket, 0, nil
	}
	defer a.mu.Unlock()
	if answer == allowance.Ask && !a.lenderLost(now) {
		ticket, answer, retry = a.awaitLoan(ctx, organisation, maxWait)
	}
	if answer == allowance.Ask && a.lenderAnswers(a.cfg.clock.Now()) { // not within the time of the request
		answer, retry = allowance.Denied, lendInterval
	}
	switch answer {
	case allowance.Granted:
		allowanceCounters.Add("granted after a wait", 1)
		return ticket, 0, nil
	case allowance.Denied:
		allowanceCounters.Add("denied", 1)
		age := a.cfg.clock.Now().Sub(a.lastReply).Round(time.Millisecond)
		return ticket, retry, verdict.OverAllowance("the organisation is over its allowance, as of " + age.String() + " ago")
	}
	allowanceCounters.Add("no lender", 1)
	return ticket, noLenderRetryAfter, verdict.Unavailable(verdict.ReasonNoLender, "no leader of the control group says what is left of the allowance")
}

// lenderAnswers reports whether a lender has answered recently, and the last call. The caller
// holds a.mu.
func (a *allowanceClient) lenderAnswers(now time.Time) bool {
	return !a.lastReply.IsZero() && a.failing.IsZero() && now.Sub(a.lastReply) < lenderSilence
}

// lenderLost reports whether no control host has lent for so long that waiting is of no use.
// The caller holds a.mu.
func (a *allowanceClient) lenderLost(now time.Time) bool {
	return !a.failing.IsZero() && now.Sub(a.failing) > lenderSilence
}

// awaitLoan waits until the lender has answered. The caller holds a.mu, which is released
// meanwhile.
func (a *allowanceClient) awaitLoan(ctx context.Context, organisation string, maxWait time.Duration) (t allowance.Ticket, answer allowance.Answer, retry time.Duration) {
	a.holder.AddWaiting(organisation, 1)
	defer func() { a.holder.AddWaiting(organisation, -1) }()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for answer = allowance.Ask; answer == allowance.Ask; {
		replied := a.replied
		a.mu.Unlock()
		a.wake()
		ended := false
		select {
		case <-replied:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		a.mu.Lock()
		t, answer, retry = a.holder.Retake(a.cfg.clock.Now(), organisation)
		if ended {
			break
		}
	}
	return t, answer, retry
}

func (a *allowanceClient) wake() {
	select {
	case a.wakes <- struct{}{}:
	default:
	}
}

// Live implements gateway.AllowanceClient.
func (a *allowanceClient) Live(t allowance.Ticket) bool {
	if !t.Held() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Live(a.cfg.clock.Now(), t)
}

// Spend implements gateway.AllowanceClient.
func (a *allowanceClient) Spend(t allowance.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Spend(a.cfg.clock.Now(), t)
}

// Restore implements gateway.AllowanceClient.
func (a *allowanceClient) Restore(t allowance.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Restore(a.cfg.clock.Now(), t)
}

// Return implements gateway.AllowanceClient.
func (a *allowanceClient) Return(t allowance.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Return(a.cfg.clock.Now(), t)
}

// run calls the lender when requests wait, and ahead of expected ones, until ctx ends.
func (a *allowanceClient) run(ctx context.Context) {
	ticker := time.NewTicker(lendInterval)
	defer ticker.Stop()
	lastWakeUp := a.cfg.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wakes:
		}
		late := a.cfg.clock.Now().Sub(lastWakeUp) - lendInterval
		if call := a.nextCall(late); !call.Empty() && a.pace.Wait(ctx) == nil {
			a.callLender(ctx)
		}
		lastWakeUp = a.cfg.clock.Now()
	}
}

// nextCall returns the next call to the lender. late is the delay of the wake-up.
func (a *allowanceClient) nextCall(late time.Duration) allowance.Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.holder.ExpiredUnspent
	call := a.holder.NextCall(a.cfg.clock.Now())
	if expired := a.holder.ExpiredUnspent - before; expired > 0 {
		allowanceCounters.Add("expired", expired)
		if late >= freezeThreshold {
			a.cfg.logger.Info("allowances expired while this host stood still", zap.Int64("requests", expired), zap.Duration("for", late))
		}
	}
	return call
}

// callLender asks control hosts until one lends.
func (a *allowanceClient) callLender(ctx context.Context) {
	for range maxLendAttempts {
		address := a.nextAddress()
		if address == "" || ctx.Err() != nil {
			break
		}
		next, err := a.call(ctx, address)
		if err == nil {
			return
		}
		a.recordFailure(address, next, err)
		if next == address { // it is the leader, and cannot lend yet
			break
		}
	}
	pause(ctx, lendPause)
}

func (a *allowanceClient) nextAddress() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.askNext != "" {
		return a.askNext
	}
	return a.cfg.leader()
}

// call makes one call. If it fails, next is the control host to ask instead.
func (a *allowanceClient) call(ctx context.Context, address string) (next string, err error) {
	call := a.nextCall(0)
	if call.Empty() {
		return address, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	allowanceCounters.Add("calls", 1)
	sent := a.cfg.clock.Now()
	var reply wire.AllowanceReply
	if err := a.cfg.caller.Call(ctx, address, wire.MethodAllowanceLend, encodeAllowanceCall(a.cfg.host, call), &reply); err != nil {
		return a.otherControlHost(address), errors.Trace(err)
	}
	if !reply.Lends || len(reply.Loans) != len(call.Wants) {
		if next = reply.Leader; next == "" {
			next = a.otherControlHost(address)
		}
		return next, errors.Errorf("%s does not lend: %s", address, reply.Reason)
	}
	a.apply(address, sent, call, reply)
	return address, nil
}

// otherControlHost returns the control host after one that did not answer. The leader that the
// session knows may be the one that is lost.
func (a *allowanceClient) otherControlHost(address string) string {
	hosts := a.cfg.controlHosts()
	if len(hosts) == 0 {
		return a.cfg.leader()
	}
	return hosts[(slices.Index(hosts, address)+1)%len(hosts)]
}

func (a *allowanceClient) apply(address string, sent time.Time, call allowance.Call, reply wire.AllowanceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.clock.Now()
	a.holder.Apply(sent, now, call, decodeLoans(reply.Loans))
	if a.lender != address || !a.failing.IsZero() {
		a.cfg.logger.Info("allowances are lent", zap.String("lender", address), zap.String("before", a.lender), zap.Duration("since_last_reply", sinceOrZero(now, a.lastReply)))
	}
	a.askNext, a.lender, a.lastReply, a.failing = address, address, now, time.Time{}
	if interval := time.Duration(reply.IntervalMs) * time.Millisecond; interval > 0 {
		a.pace.SetLimit(rate.Every(interval))
	}
	close(a.replied)
	a.replied = make(chan struct{})
}

// sinceOrZero returns the time since t, or zero if t is not set.
func sinceOrZero(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}

func (a *allowanceClient) recordFailure(address, next string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askNext = next
	allowanceCounters.Add("failed calls", 1)
	now := a.cfg.clock.Now()
	if a.failing.IsZero() {
		a.failing = now
		a.cfg.logger.Info("allowances are not lent", zap.String("asked", address), zap.Duration("since_last_reply", sinceOrZero(now, a.lastReply)), logging.Error(err))
	}
}

func encodeAllowanceCall(host string, call allowance.Call) wire.AllowanceCall {
	out := wire.AllowanceCall{Host: host}
	for _, s := range call.Settled {
		out.Settled = append(out.Settled, wire.AllowanceSettlement{Loan: uint64(s.Loan), Unspent: s.Unspent})
	}
	for _, w := range call.Wants {
		out.Wants = append(out.Wants, wire.AllowanceWant{Organisation: w.Organisation, Need: w.Need, Ahead: w.Ahead})
	}
	return out
}

func decodeLoans(loans []wire.AllowanceLoan) []allowance.Loan {
	out := make([]allowance.Loan, 0, len(loans))
	for _, l := range loans {
		out = append(out, allowance.Loan{ID: allowance.LoanID(l.ID), Amount: l.Amount, Life: time.Duration(l.LifeMs) * time.Millisecond,
			Wait: time.Duration(l.WaitMs) * time.Millisecond, Spacing: time.Duration(l.SpacingMs) * time.Millisecond})
	}
	return out
}

// handleLend lends requests of organisations to an entry host.
func (h *ControlHost) handleLend(ctx context.Context, call wire.AllowanceCall) (wire.AllowanceReply, error) {
	return h.leader.Lend(ctx, call), nil
}

// allowanceLimit returns the limit of an organisation in the newest state.
func (h *ControlHost) allowanceLimit(organisation string) (limit allowance.Limit, known bool) {
	o := h.state.Table().Items().Organisation(organisation)
	if o == nil {
		return allowance.Limit{}, false
	}
	return allowance.Limit{Rate: o.Rate, Burst: o.Burst}, true
}

// allowanceTolerance returns by how much allowances may be exceeded in a deployment.
func allowanceTolerance(d settings.Deployment) allowance.Tolerance {
	return allowance.Tolerance{Window: d.AllowanceWindow, Overshoot: d.AllowanceOvershoot, Slack: d.AllowanceSlack}
}

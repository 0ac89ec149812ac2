package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/heldbytes"
	"github.com/agatestep/agatestep/internal/verdict"
)

// NewHeldBytes returns the account of the bytes that a host holds for others, or nil if
// limit is zero.
func NewHeldBytes(limit int64, logger *zap.Logger) *heldbytes.Account {
	if limit <= 0 {
		return nil
	}
	account := heldbytes.New(limit, func(e heldbytes.Ended) {
		counters.HeldEnded.Add(e.Direction.String(), 1)
		logger.Info("request that made no progress ended for memory", zap.String("request", e.Name), zap.Stringer("held", e.Direction),
			zap.Int64("bytes", e.Bytes), zap.Duration("stalled", e.Stalled), zap.Int64("total", e.Total), zap.Int64("limit", limit))
	})
	counters.held.Store(account)
	return account
}

// heldCall is what a call holds. The zero value holds nothing and is not accounted for.
type heldCall struct {
	answer *heldbytes.Holder
	cancel context.CancelCauseFunc
}

// heldRetryAfter is the Retry-After of a call that was refused because this host holds too many
// bytes.
const heldRetryAfter = 500 * time.Millisecond

// newWorkBytes is what must fit into the account of held bytes for a call to begin.
const newWorkBytes = segmentBytes

// admitHeld refuses a call if the bytes that it would add cannot be held.
func (g *Gateway) admitHeld(c *call, now time.Time) *verdict.Error {
	if g.cfg.Held.Fits(now, newWorkBytes) {
		return nil
	}
	return verdict.Unavailable(verdict.ReasonHeldBytes, "this host holds too many bytes that others have not taken")
}

// openHeld adds a call and its body, whose reading has not begun, to the account of held bytes. The
// context of the request ends when the call is ended because the account is full.
func (g *Gateway) openHeld(c *call, now time.Time) {
	if g.cfg.Held == nil {
		return
	}
	ctx, cancel := context.WithCancelCause(c.request.Context())
	c.request, c.held.cancel = c.request.WithContext(ctx), cancel
	if c.body != nil {
		c.body.now = g.cfg.Clock.Now
		c.body.held = g.cfg.Held.Open(now, heldbytes.RequestBodies, c.ID, func() { cancel(verdict.ErrNoProgress) })
	}
}

// openHeldAnswer does the same for the answer. The returned function must be called before the
// handler returns.
func (g *Gateway) openHeldAnswer(w http.ResponseWriter, c *call) (done func()) {
	if g.cfg.Held == nil {
		return func() {}
	}
	rc := http.NewResponseController(w)
	c.held.answer = g.cfg.Held.Open(g.cfg.Clock.Now(), heldbytes.Answers, c.ID, func() {
		c.held.cancel(verdict.ErrNoProgress)
		_ = rc.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	})
	return func() {
		c.held.answer.Close()
		if c.body != nil {
			c.body.close()
			c.body.held.Close()
		}
		c.held.cancel(nil)
	}
}

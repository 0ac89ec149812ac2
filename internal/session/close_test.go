package session

import (
	"context"
	"testing"
	"time"
)

// unresponsiveCaller never gets a reply, as from a control host behind a
// congested link.
type unresponsiveCaller struct{}

func (unresponsiveCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a stop that waits for a pending renewal beyond its own deadline, until the
// process is killed.
func TestCloseCancelsPendingRenewal(t *testing.T) {
	is, s, _ := newSession(t)
	s.cfg.Caller = unresponsiveCaller{}
	running, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = s.Renew(running) }()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	is.True(s.Close(ctx) != nil)
	is.True(time.Since(began) < 300*time.Millisecond)
}

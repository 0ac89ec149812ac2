package session

import (
	"context"
	"testing"
	"time"
)

// silent does not answer, as a control host behind a crowded link.
type silent struct{}

func (silent) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// A renewal waits for its answer when the host stops. Guards against a stop that waits for it
// beyond its own time, until the process is killed.
func TestCloseDoesNotWaitForARenewal(t *testing.T) {
	is, s, _ := newSession(t)
	s.cfg.Caller = silent{}
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

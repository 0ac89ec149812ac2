package session

import (
	"context"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

// A control host is paused after it has read its table, or was cut off from the others
// without knowing it. Guards against a host that takes the table in such an answer for the
// newest at a time at which that control host knew nothing.
func TestAnswerOfOneControlHostConfirmsNothing(t *testing.T) {
	is, s, l := newSession(t)
	watch(t, s, l, 5)
	l.table = wire.TableReply{Revision: 5, Current: 5, HeldMs: (3 * time.Second).Milliseconds()}
	is.NoErr(s.Watch(context.Background()))
	is.Equal(s.Table().Revision(), uint64(5))
	is.True(s.AsOf().IsZero())
}

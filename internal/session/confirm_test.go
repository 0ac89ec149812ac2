package session

import (
	"context"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against a host that considers a table current because one control host sent it.
// That control host may have been paused after it read its table, or partitioned from the
// others without knowing it.
func TestWatchReplyConfirmsNothing(t *testing.T) {
	is, s, fake := newSession(t)
	watchSnapshot(t, s, fake, 5)
	fake.table = wire.TableReply{Revision: 5, Current: 5, HeldMs: (3 * time.Second).Milliseconds()}
	is.NoErr(s.Watch(context.Background()))
	is.Equal(s.Table().Revision(), uint64(5))
	is.True(s.TableCurrentAsOf().IsZero())
}

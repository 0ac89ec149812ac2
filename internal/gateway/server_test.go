package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/backlog"
)

// Guards against a sound server whose callers are all refused because one connection to it
// opened late, and against a silent one that is tried for ever.
func TestLateConnectionsMarkAServerDown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &server{backlog: backlog.New(2)}
	s.late(now)
	_, down := s.isDown(now)
	is.True(!down)
	s.late(now)
	_, down = s.isDown(now)
	is.True(down)
	_, down = s.isDown(now.Add(downFor))
	is.True(!down)
}

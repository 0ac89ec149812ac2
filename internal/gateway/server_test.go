package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/backlog"
)

// Guards against a healthy server whose callers are all refused because one connection to it
// was slow to open, and against a silent one that is tried forever.
func TestSlowDialsMarkServerDown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &server{backlog: backlog.New(2)}
	s.recordSlowDial(now)
	_, down := s.downTimeLeft(now)
	is.True(!down)
	s.recordSlowDial(now)
	_, down = s.downTimeLeft(now)
	is.True(down)
	_, down = s.downTimeLeft(now.Add(downDuration))
	is.True(!down)
}

package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are taken so late in a planned stop that their work is cut
// off by its end.
func TestRequestsTakenDuringAStopHaveTimeToEnd(t *testing.T) {
	is := is.New(t)
	for _, stop := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		taking := takingFor(stop)
		is.True(taking <= stop/2)
		is.True(taking <= 3*time.Second)
	}
	// Longer than the balancer needs to see that the host is not ready.
	is.True(takingFor(10*time.Second) > unreadyFor)
}

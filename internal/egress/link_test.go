package egress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a queue on the outgoing link that is not reported.
func TestQueueDelayFollowsExcessBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(1e6)
		is.Equal(l.QueueDelay(), time.Duration(0))
		l.RecordSent(Responses, 90_000)
		l.RecordSent(RequestHeads, 90_000)
		is.Equal(l.QueueDelay().Round(time.Millisecond), 200*time.Millisecond) // 0.9 of the bandwidth is usable
		time.Sleep(150 * time.Millisecond)
		is.Equal(l.QueueDelay().Round(time.Millisecond), 50*time.Millisecond)
		usage := l.TakeUsage()
		is.Equal(usage.PeakQueueDelay.Round(time.Millisecond), 200*time.Millisecond)
		is.Equal(usage.Bytes["answers"], int64(90_000))
		time.Sleep(time.Second)
		is.Equal(l.QueueDelay(), time.Duration(0))
		is.Equal(l.TakeUsage().PeakQueueDelay, time.Duration(0))
	})
}

// Guards against a crash when the bandwidth is unknown.
func TestUnknownBandwidth(t *testing.T) {
	is := is.New(t)
	l := New(0)
	l.RecordSent(Responses, 1)
	is.Equal(l.QueueDelay(), time.Duration(0))
	is.Equal(len(l.TakeUsage().Bytes), 0)
}

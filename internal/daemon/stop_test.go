package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are admitted so late in a graceful stop that it ends before
// their work does.
func TestAdmissionTimeLeavesTimeToFinish(t *testing.T) {
	is := is.New(t)
	for _, stop := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		admission := admissionTime(stop)
		is.True(admission <= stop/2)
		is.True(admission <= 3*time.Second)
	}
	// Longer than the load balancer needs to detect that the host is not ready.
	is.True(admissionTime(10*time.Second) > balancerNoticeTime)
}

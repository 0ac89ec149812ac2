package verdict

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a caller that is told less than the worst of its attempts, and against a
// reason that is older than need be.
func TestNoFailureHidesThatARequestMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		failures := rapid.SliceOf(rapid.Custom(func(t *rapid.T) *Error {
			return rapid.SampledFrom([]*Error{nil, {Verdict: NotRun}, {Verdict: MayHaveRun}, {Verdict: Answered}, {}}).Draw(t, "failure").clone()
		})).Draw(t, "failures")
		var told, firstRun, lastRefusal *Error
		for _, e := range failures {
			told = Worse(told, e)
			switch {
			case e == nil:
			case e.Verdict == NotRun:
				lastRefusal = e
			case firstRun == nil:
				firstRun = e
			}
		}
		if firstRun != nil {
			is.True(told == firstRun)
		} else {
			is.True(told == lastRefusal)
		}
	})
}

// clone tells equal failures of two attempts apart.
func (e *Error) clone() *Error {
	if e == nil {
		return nil
	}
	c := *e
	return &c
}

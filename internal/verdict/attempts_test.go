package verdict

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a reported failure that hides an earlier attempt which may have run, and
// against reporting an earlier refusal than the last one.
func TestWorseFailureKeepsFirstThatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		failures := rapid.SliceOf(rapid.Custom(func(t *rapid.T) *Error {
			return rapid.SampledFrom([]*Error{nil, {Verdict: NotRun}, {Verdict: MayHaveRun}, {Verdict: Answered}, {}}).Draw(t, "failure").clone()
		})).Draw(t, "failures")
		var reported, firstMayHaveRun, lastRefusal *Error
		for _, e := range failures {
			reported = WorseFailure(reported, e)
			switch {
			case e == nil:
			case e.Verdict == NotRun:
				lastRefusal = e
			case firstMayHaveRun == nil:
				firstMayHaveRun = e
			}
		}
		if firstMayHaveRun != nil {
			is.True(reported == firstMayHaveRun)
		} else {
			is.True(reported == lastRefusal)
		}
	})
}

// clone returns a copy of e, so that equal failures of two attempts differ by pointer.
func (e *Error) clone() *Error {
	if e == nil {
		return nil
	}
	c := *e
	return &c
}

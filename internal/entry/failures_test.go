package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
)

// outcome is the scripted end of one attempt.
type outcome struct {
	after time.Duration
	err   *verdict.Error // nil means a response
}

// scriptedDispatcher ends attempts with the given outcomes in order; later ones are answered.
type scriptedDispatcher struct {
	mu       sync.Mutex
	outcomes []outcome
	failed   []verdict.Verdict // of the attempts
}

// Send implements Dispatcher.
func (s *scriptedDispatcher) Send(ctx context.Context, _ *dispatch.Request) (*http.Response, error) {
	s.mu.Lock()
	var o outcome
	if len(s.outcomes) > 0 {
		o, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	s.mu.Unlock()
	select {
	case <-time.After(o.after):
	case <-ctx.Done():
		o.err = &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Reason: verdict.ReasonDeadline}
	}
	if o.err == nil {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, o.err.Verdict)
	return nil, o.err
}

// drawOutcome draws an outcome; most of its reasons are ones that are retried.
func drawOutcome(t *rapid.T) outcome {
	o := outcome{after: time.Duration(rapid.IntRange(0, 40).Draw(t, "after_ms")) * time.Millisecond}
	verdicts := []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.NotRun, verdict.MayHaveRun, verdict.NotRun, verdict.Answered}
	v := rapid.SampledFrom(verdicts).Draw(t, "verdict")
	if v == verdict.Answered {
		return o
	}
	reasons := []verdict.Reason{verdict.ReasonConnectionLost, verdict.ReasonMoved, verdict.ReasonBackendRefused, verdict.ReasonConnect,
		verdict.ReasonSession, verdict.ReasonShutdown, verdict.ReasonOverloaded, verdict.ReasonForeignAnswer}
	o.err = &verdict.Error{Verdict: v, Status: http.StatusBadGateway, Reason: rapid.SampledFrom(reasons).Draw(t, "reason")}
	return o
}

// scriptedTable has one host and one service. All keys belong to owner, or to no one if it is empty.
func scriptedTable(is *is.I, file *service.File, owner string) *table.Table {
	b := table.NewBuilder(table.Empty().Revision())
	b.PutHost(table.Host{Name: "h1"})
	b.PutService(table.Service{File: file})
	for _, name := range []string{"b1", "b2", "b3", "b4"} {
		b.PutBackend(table.Backend{Name: name, Service: file.Service, Slots: 16, Dispatcher: "h1", Epoch: 7})
	}
	if file.Keyed() {
		s := table.Slice{Owner: owner, Epoch: 5, State: table.SliceOwned}
		if owner == "" {
			s.Owner, s.State = "b1", table.SliceReleasing
		}
		b.PutSlice(file.Service, s)
	}
	t, err := table.Empty().Apply(b.Delta(10))
	is.NoErr(err)
	return t
}

// Guards against a request that may have run and is answered as not run, whatever its other
// attempts ended with: refusals, a hedge, the deadline, or a key without an owner.
func TestFailureReportsWorstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		laterRefusals, owners := 0, []string{"b1", "b2", "b3", ""}
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) { // hides Deadline, which must not be called in a bubble
			is := is.New(t)
			file := &service.File{Service: "s", Prefer: service.PreferTailLatency}
			if rapid.Bool().Draw(t, "keyed") {
				file.Key = &service.KeySource{Header: "X-Key", PathSegment: -1}
			}
			tables := map[string]*table.Table{}
			for _, owner := range owners {
				tables[owner] = scriptedTable(is, file, owner)
			}
			first, moves := time.Now(), rapid.SliceOfN(rapid.SampledFrom(owners), 30, 30).Draw(t, "owners")
			now := func() *table.Table {
				return tables[moves[min(int(time.Since(first)/(20*time.Millisecond)), len(moves)-1)]]
			}
			s := &scriptedDispatcher{outcomes: rapid.SliceOfN(rapid.Custom(drawOutcome), 4, 8).Draw(t, "outcomes")}
			h := New(Config{Host: "h1", Tables: now, SessionValidUntil: func() time.Time { return first.Add(time.Hour) }, Dispatcher: s,
				Limits: Limits{RetryRatio: 1, HedgeRatio: 1}})
			c := &call{file: file, keyed: file.Keyed(), idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, method: http.MethodGet, uri: "/s/x"}
			for range 100 { // enough samples for a hedge delay
				h.hedges.OnRequest()
				h.recordOutcome(c, "b1", 5*time.Millisecond, true)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, err := h.sendWithRetries(ctx, c)
			if err == nil {
				resp.Body.Close()
				synctest.Wait()
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if n := len(s.failed); slices.Contains(s.failed, verdict.MayHaveRun) {
				is.True(err.Verdict == verdict.MayHaveRun)
				if s.failed[n-1] == verdict.NotRun {
					laterRefusals++
				}
			}
		})
		is.New(t).True(laterRefusals > 0) // zero means that no request was refused after it may have run
	})
}

package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// An entry host on a crowded link follows the table late. Guards against a change that
// is acknowledged while a host in touch still routes by the table before it, and against
// one that waits without end for a host that is lost or stuck.
func TestChangesAreAcknowledgedOnceHostsHaveThem(t *testing.T) {
	leaving := func(r *reporters) bool {
		hb := *r.beats["b000"]
		hb.Sequence, hb.Leaving = hb.Sequence+1, true
		return r.Heartbeat(ctx, hb).Acked
	}
	for name, change := range map[string]func(r *reporters) (acked bool){
		"the end of a server": leaving,
		"the end, passed on twice": func(r *reporters) bool {
			hb := *r.beats["b000"]
			hb.Sequence, hb.Leaving = hb.Sequence+1, true
			go r.Heartbeat(ctx, hb)
			for !r.state.Table().Backend("desk", "b000").Leaving {
				time.Sleep(time.Millisecond)
			}
			return r.Heartbeat(ctx, hb).Acked
		},
		"a server that deregisters": func(r *reporters) bool { return r.Deregister(ctx, wire.Deregister{Backend: "b000"}).Acked },
		"a patch": func(r *reporters) bool {
			c := command.Command{PatchItems: &command.PatchItems{Items: deskItems(2)}}
			data, err := c.Encode()
			return err == nil && r.Leader.Propose(ctx, wire.Proposal{Command: data}).Status == wire.ProposalApplied
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newReporters(t, 3)
			r.renew(1)
			before := r.state.Table().Revision()
			r.noteFollower("h1", before)
			known := make(chan struct{})
			go func() {
				for r.state.Table().Revision() == before {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(4 * ackLook)
				close(known)
				r.noteFollower("h1", r.state.Table().Revision())
			}()
			is.True(change(r))
			select {
			case <-known:
			default:
				t.Error("acknowledged before the host had it")
			}
		})
	}
	// Guards against patches in quick succession that put each other's answers off.
	t.Run("a later patch is not waited for", func(t *testing.T) {
		is, r := is.New(t), newReporters(t, 3)
		r.renew(1)
		patch := func(version uint64) []byte {
			c := command.Command{PatchItems: &command.PatchItems{Items: deskItems(version)}}
			data, err := c.Encode()
			is.NoErr(err)
			return data
		}
		r.noteFollower("h1", r.state.Table().Revision())
		first, second := patch(2), patch(3)
		before := r.state.Table().Revision()
		done := make(chan bool)
		go func() { done <- r.Leader.Propose(ctx, wire.Proposal{Command: first}).Status == wire.ProposalApplied }()
		for r.state.Table().Revision() == before {
			time.Sleep(time.Millisecond)
		}
		reached := r.state.Table().Revision()
		go r.Leader.Propose(ctx, wire.Proposal{Command: second})
		for r.state.Table().Revision() == reached {
			time.Sleep(time.Millisecond)
		}
		r.noteFollower("h1", reached)
		is.True(<-done) // the clock stands: a wait for the later patch would not end
		r.noteFollower("h1", r.state.Table().Revision())
	})
	t.Run("the host is lost", func(t *testing.T) {
		is, r := is.New(t), newReporters(t, 3)
		r.renew(1)
		r.noteFollower("h1", r.state.Table().Revision())
		r.clock.Advance(followTime)
		is.True(leaving(r)) // the clock stands, so that a wait would not end
	})
	t.Run("the host is stuck", func(t *testing.T) {
		is, r := is.New(t), newReporters(t, 3)
		r.renew(1)
		r.noteFollower("h1", r.state.Table().Revision())
		began := r.clock.Now()
		done := make(chan bool)
		go func() { done <- leaving(r) }()
		for {
			select {
			case acked := <-done:
				is.True(acked)
				is.True(r.clock.Now().Sub(began) >= ackWait)
				return
			case <-time.After(2 * ackLook):
				r.clock.Advance(ackWait / 4)
			}
		}
	})
}

package fleet

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

func joinHost(t *testing.T, f *Fleet, i int, index uint64) {
	t.Helper()
	err := f.JoinHost(&command.HostJoined{Host: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i%3), Instance: "a",
		PeerAddress: fmt.Sprintf("127.0.0.%d:1", i), RelayAddress: fmt.Sprintf("127.0.0.%d:2", i)}, index)
	if err != nil {
		t.Fatal(err)
	}
}

func announcement(i int, incarnation string) *command.BackendAnnounced {
	return &command.BackendAnnounced{Backend: fmt.Sprint("b", i), Service: "s", Incarnation: incarnation,
		DataCentre: fmt.Sprint("dc", i%3), Address: fmt.Sprintf("127.0.1.%d:80", i), Slots: 2, ChecksOrders: true}
}

// newTestFleet returns a fleet of 6 hosts and 30 backend servers in 3 data centres.
func newTestFleet(t *testing.T) *Fleet {
	f := New()
	for i := range 36 {
		if i < 6 {
			joinHost(t, f, i, uint64(i+1))
		} else if _, err := f.RegisterBackend(announcement(i-6, "i1"), uint64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Guards against dispatchers in another data centre, standbys in the data centre
// of their dispatcher and unevenly distributed roles, at first and after losses
// and joins.
func TestDispatcherRolesAreBalanced(t *testing.T) {
	f := newTestFleet(t)
	checkRoles := func(maxRoles int) {
		t.Helper()
		r := f.countRoles()
		for _, h := range r.hosts {
			if n := r.total(h); n > maxRoles {
				t.Errorf("%s has %d roles", h.Name, n)
			}
		}
		for _, b := range f.backends {
			if f.Host(b.StandbyDispatcher).DataCentre == f.Host(b.Dispatcher).DataCentre {
				t.Errorf("%s has both dispatchers in one data centre", b.Name)
			}
		}
	}
	checkRoles(11) // 60 roles on 6 hosts; data centres limit the choice
	for _, b := range f.backends {
		if f.Host(b.Dispatcher).DataCentre != b.DataCentre {
			t.Errorf("%s has its dispatcher in another data centre", b.Name)
		}
	}
	is := is.New(t)
	standbys := map[string]string{}
	for ref, b := range f.backends {
		if b.Dispatcher == "h0" {
			standbys[ref.Name] = b.StandbyDispatcher
		}
	}
	is.Equal(len(standbys), 5)
	is.NoErr(f.MarkHostLost(&command.HostLost{Host: "h0"}, 100))
	for name, want := range standbys {
		is.Equal(f.backends[table.BackendRef{Service: "s", Name: name}].Dispatcher, want)
	}
	checkRoles(15) // 60 roles on 5 hosts are 12; standbys stay where they are
	joinHost(t, f, 0, 101)
	if n := f.countRoles().total(f.Host("h0")); n < 5 {
		t.Errorf("the host that joined again has %d roles", n)
	}
	checkRoles(13)
}

// Guards against an older incarnation that replaces a live newer one, against two
// live processes with the same name or address, and against the rejection of
// valid incarnations.
func TestIncarnationReplacement(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	ref := table.BackendRef{Service: "s", Name: "b1"}
	replaced, err := f.RegisterBackend(announcement(1, "i2"), 50)
	is.NoErr(err)
	is.True(replaced)
	_, err = f.RegisterBackend(announcement(1, "i1"), 51)
	is.True(errors.Is(err, ErrStale)) // older
	is.Equal(f.Backend(ref).Incarnation, "i2")
	is.True(errors.Is(f.MarkBackendLost(ref, "i1", 52), ErrStale)) // a late report about the older one
	moved := announcement(1, "i3")
	moved.Address = "127.0.1.99:80"
	_, err = f.RegisterBackend(moved, 53)
	is.True(errors.Is(err, ErrInvalid)) // i2 may hold a lease at its address
	is.NoErr(f.MarkBackendLost(ref, "i2", 54))
	replaced, err = f.RegisterBackend(moved, 55)
	is.NoErr(err)
	is.True(!replaced)
	is.NoErr(f.MarkBackendLost(ref, "i3", 56))
	_, err = f.RegisterBackend(announcement(1, "i1"), 57)
	is.NoErr(err) // the newer ones are gone
	for i := range 2 * maxPast {
		_, err = f.RegisterBackend(announcement(1, fmt.Sprint("n", i)), uint64(60+i))
		is.NoErr(err)
	}
	is.Equal(len(f.Backend(ref).Past), maxPast) // bounded
}

// Guards against a drain flag that is lost with a new incarnation, a host that
// joins or the restore of only one of two drains, and against an unbounded number
// of records.
func TestDrainFlagsPersistAndRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	setDrain := func(kind command.DrainKind, name string, out bool) {
		d := &command.Drain{RequestID: "r", Kind: kind, Name: name, Out: out}
		version, repeat, err := f.CheckDrain(d)
		is.NoErr(err)
		is.True(!repeat)
		f.SetDrain(Drain{DrainKey: DrainKey{kind, name}, Out: out, Version: version})
	}
	ref := table.BackendRef{Service: "s", Name: "b1"}
	setDrain(command.DrainDataCentre, "dc1", true)
	setDrain(command.DrainBackend, "s/b1", true)
	_, err := f.RegisterBackend(announcement(1, "i2"), 50)
	is.NoErr(err)
	is.NoErr(f.MarkHostLost(&command.HostLost{Host: "h1"}, 51))
	joinHost(t, f, 1, 52)
	is.True(f.Backend(ref).Draining && f.Host("h1").Draining)
	is.Equal(len(f.Available("s")), 20)
	setDrain(command.DrainDataCentre, "dc1", false)
	is.True(f.Backend(ref).Draining && !f.Host("h1").Draining)
	is.Equal(len(f.Available("s")), 29)
	setDrain(command.DrainBackend, "s/b1", false)
	is.Equal(len(f.Available("s")), 30)
	for i := range maxLostRecords {
		ref := table.BackendRef{Service: "s", Name: fmt.Sprint("lost", i)}
		f.backends[ref] = &Backend{LostAt: uint64(100 + i), Backend: table.Backend{Service: "s", Name: ref.Name, Lost: true}}
	}
	is.NoErr(f.MarkBackendLost(ref, "i2", 9000))
	is.Equal(len(f.backends), 30+maxLostRecords-1)
	is.Equal(f.Backend(table.BackendRef{Service: "s", Name: "lost0"}), nil) // lost first
}

// Guards against dispatchers that stay in another data centre after the host in
// theirs was restarted, and against a late report that takes a role away.
func TestHandOversRestoreDataCentreLocality(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	is.NoErr(f.MarkHostLost(&command.HostLost{Host: "h0"}, 100))
	joinHost(t, f, 0, 101)
	ref := table.BackendRef{Service: "s", Name: "b0"}
	old := f.backends[ref].Dispatcher
	is.True(f.Host(old).DataCentre != "dc0")
	lateReport := &command.HandedOver{Service: "s", Backend: "b0", From: old, Limit: 2}
	for index := uint64(102); ; index++ {
		plan := PlanHandOvers(buildTable(t, f, index))
		if len(plan) == 0 {
			break
		}
		is.True(len(plan) <= maxConcurrentHandOvers)
		for _, h := range plan {
			is.NoErr(f.HandOver(&h))
			is.NoErr(f.HandedOver(&command.HandedOver{Service: h.Service, Backend: h.Backend, From: h.From, Limit: 2}, index))
		}
	}
	for _, b := range f.backends {
		is.Equal(f.Host(b.Dispatcher).DataCentre, b.DataCentre)
		is.True(b.StandbyDispatcher != b.Dispatcher)
	}
	is.Equal(f.backends[ref].WarmLimit, 2)
	is.True(errors.Is(f.HandedOver(lateReport, 200), ErrStale))
	is.NoErr(f.MarkBackendLost(ref, "i1", 201))
	is.Equal(f.backends[ref].WarmLimit, 0) // it is cold when it returns
}

// buildTable returns the table of all records of f.
func buildTable(t *testing.T, f *Fleet, revision uint64) *table.Table {
	t.Helper()
	b := table.NewBuilder(0)
	b.PutService(table.Service{File: &service.File{Service: "s"}})
	for _, h := range f.hosts {
		b.PutHost(h.Host)
	}
	for _, r := range f.backends {
		b.PutBackend(r.Backend)
	}
	out, err := table.Empty().Apply(b.Delta(revision))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a lease that is considered over although its dispatcher handed
// over the role just before the next dispatcher was lost.
func TestLeaseOverExcludesHandOversAfterDecision(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	first, second := table.BackendRef{Service: "s", Name: "b0"}, table.BackendRef{Service: "s", Name: "b3"}
	lost := f.backends[first].Dispatcher
	is.NoErr(f.HandOver(&command.HandOver{Service: "s", Backend: "b3", From: f.backends[second].Dispatcher, To: lost}))
	is.NoErr(f.HandedOver(&command.HandedOver{Service: "s", Backend: "b3", From: f.backends[second].Dispatcher}, 101))
	is.NoErr(f.MarkHostLost(&command.HostLost{Host: lost, LeasesOver: 100}, 102))
	is.True(f.backends[first].LeaseOver)
	is.True(!f.backends[second].LeaseOver) // handed over at 101, after the decision
	next := f.backends[first].Dispatcher
	is.NoErr(f.MarkHostLost(&command.HostLost{Host: next, Planned: true}, 103))
	is.True(!f.backends[first].LeaseOver)
}

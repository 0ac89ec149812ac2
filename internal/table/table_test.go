package table

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/service"
)

// tableModel holds the content of a Table in plain maps.
type tableModel struct {
	services map[string]Service
	backends map[BackendRef]Backend
	hosts    map[string]Host
	drains   map[string]bool
	slices   map[string]map[uint64]Slice
}

var (
	serviceNames = []string{"desk", "vault", "stock"}
	backendNames = []string{"", "b1", "b2", "b3", "b4"}
)

// drawChanges makes the same random changes to the model and a builder.
func (m *tableModel) drawChanges(t *rapid.T, b *Builder, revision uint64) {
	name := rapid.SampledFrom(serviceNames).Draw(t, "service")
	if _, ok := m.services[name]; !ok {
		s := Service{Revision: revision, File: &service.File{Service: name, Key: &service.KeySource{Header: "X"},
			Match: service.Match{PathPrefixes: []string{"/" + name + "/"}}, Expect: []service.Expectation{{Line: 3}}}}
		m.services[name], m.slices[name] = s, map[uint64]Slice{}
		b.PutService(s)
	}
	for range rapid.IntRange(0, 4).Draw(t, "backends") {
		r := Backend{Service: name, Name: rapid.SampledFrom(backendNames[1:]).Draw(t, "name"), Epoch: revision,
			Lost: rapid.Bool().Draw(t, "lost"), Draining: rapid.Bool().Draw(t, "draining")}
		ref := BackendRef{Service: name, Name: r.Name}
		if m.backends[ref] = r; rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
			delete(m.backends, ref)
			b.RemoveBackend(ref)
		} else {
			b.PutBackend(r)
		}
	}
	host := Host{Name: rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"), Joined: revision}
	if m.hosts[host.Name] = host; rapid.Bool().Draw(t, "leaves") {
		delete(m.hosts, host.Name)
		b.RemoveHost(host.Name)
	} else {
		b.PutHost(host)
	}
	dc := rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "dc")
	m.drains[dc] = rapid.Bool().Draw(t, "out")
	b.PutDrain(dc, m.drains[dc])
	m.drawSlices(t, b, name, revision)
}

func (m *tableModel) drawSlices(t *rapid.T, b *Builder, service string, revision uint64) {
	count := rapid.SampledFrom([]int{0, 1, 3, 700}).Draw(t, "slices")
	step := rapid.SampledFrom([]uint64{1, 1 << 50, math.MaxUint64}).Draw(t, "step")
	from := rapid.Uint64Range(0, 1<<52).Draw(t, "from")
	if len(m.slices[service]) == 0 {
		count, from = count+1, 0
	}
	for i := range count {
		s := Slice{Start: from + uint64(i)*step, Epoch: revision,
			State: SliceState(rapid.IntRange(1, 3).Draw(t, "state")),
			Owner: backendNames[i%5], Next: backendNames[(i+1)%5], Standby: backendNames[int(revision)%5]}
		m.slices[service][s.Start] = s
		b.PutSlice(service, s)
	}
}

// check compares a table with the model.
func (m *tableModel) check(t *rapid.T, got *Table) {
	is := is.New(t)
	is.Equal(len(got.Services()), len(m.services))
	is.Equal(len(got.Hosts()), len(m.hosts))
	for name, h := range m.hosts {
		is.Equal(*got.Host(name), h)
	}
	for dc, out := range m.drains {
		is.Equal(slices.Contains(got.Drained(), dc), out)
	}
	available := 0
	for ref, b := range m.backends {
		is.Equal(*got.Backend(ref.Service, ref.Name), b)
		if !b.Lost && !b.Draining {
			is.True(slices.Contains(got.AvailableBackends(ref.Service), got.Backend(ref.Service, ref.Name)))
			available++
		}
	}
	for name, s := range m.services {
		is.Equal(got.Service(name), &s)
		matched, prefix, ok := got.Match("x", "/"+name+"/y")
		is.True(ok && matched == got.Service(name) && prefix == "/"+name+"/")
		available -= len(got.AvailableBackends(name))
		m.checkSlices(t, got, name)
	}
	is.Equal(available, 0)
}

func (m *tableModel) checkSlices(t *rapid.T, got *Table, service string) {
	starts := slices.Sorted(maps.Keys(m.slices[service]))
	if got.SliceCount(service) != len(starts) {
		t.Fatalf("%s: %d slices, want %d", service, got.SliceCount(service), len(starts))
	}
	owned := map[string]int{}
	for i, start := range starts {
		want := m.slices[service][start]
		want.Last = math.MaxUint64
		if i+1 < len(starts) {
			want.Last = starts[i+1] - 1
		}
		owned[want.Owner]++
		for _, hash := range []uint64{want.Start, want.Last, want.Start + (want.Last-want.Start)/2} {
			if s, ok := got.Lookup(service, hash); !ok || s != want {
				t.Fatalf("lookup of %x: %+v, want %+v", hash, s, want)
			}
		}
	}
	for _, name := range backendNames[1:] {
		if m := len(got.SlicesOf(service, name)); m != owned[name] {
			t.Fatalf("%s owns %d slices, want %d", name, m, owned[name])
		}
	}
}

// Guards against a delta, merged deltas or a snapshot that results in a table other
// than the model, and against a table that changes when a delta is applied to it.
func TestDeltasMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		model := &tableModel{map[string]Service{}, map[BackendRef]Backend{}, map[string]Host{}, map[string]bool{}, map[string]map[uint64]Slice{}}
		current, sum := Empty(), NewBuilder(0)
		for revision := uint64(1); revision <= uint64(rapid.IntRange(1, 6).Draw(t, "steps")); revision++ {
			before, _ := current.Snapshot()
			b := NewBuilder(current.Revision())
			model.drawChanges(t, b, revision)
			data, err := b.Delta(revision).Encode()
			is.NoErr(err)
			d, err := DecodeDelta(data)
			is.NoErr(err)
			next, err := current.Apply(d)
			is.NoErr(err)
			sum.AddDelta(d)
			after, _ := current.Snapshot()
			is.True(bytes.Equal(before, after)) // the old table did not change
			model.check(t, next)
			current = next
		}
		merged, err := Empty().Apply(sum.Delta(current.Revision()))
		is.NoErr(err)
		model.check(t, merged)
		data, _ := current.Snapshot()
		restored, err := DecodeSnapshot(data)
		is.True(err == nil && restored.Revision() == current.Revision())
		model.check(t, restored)
	})
}

// Guards against a table that goes back to an older revision or skips a delta, and
// against deltas that refer to an unknown service.
func TestApplyRejectsMismatchedDeltas(t *testing.T) {
	is := is.New(t)
	tableAt5, err := Empty().Apply(&Delta{Revision: 5})
	is.NoErr(err)
	for _, d := range []Delta{{Base: 4, Revision: 6}, {Base: 6, Revision: 7}, {Base: 5, Revision: 5}, {Base: 5, Revision: 4}} {
		_, err := tableAt5.Apply(&d)
		is.True(errors.Is(err, ErrRevisionMismatch))
	}
	for _, d := range []Delta{{Backends: []Backend{{Service: "none"}}}, {Slices: []SliceChanges{{Service: "none", Slices: make([]Slice, 1)}}}} {
		d.Base, d.Revision = 5, 6
		_, err := tableAt5.Apply(&d)
		is.True(errors.Is(err, ErrInvalid))
	}
}

// Guards against input that makes the decoder panic or allocate without bound, and
// against accepted input whose decoded table does not have a stable encoding.
func FuzzDecodeSnapshot(f *testing.F) {
	for _, n := range []int{0, 3} {
		data, _ := largeTable(f, 3, max(n, 1), n).Snapshot()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		encoded, _ := decoded.Snapshot()
		redecoded, err := DecodeSnapshot(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if reencoded, _ := redecoded.Snapshot(); !bytes.Equal(encoded, reencoded) {
			t.Fatal("the encoding of a decoded table is not stable")
		}
	})
}

// largeTable returns a table with one service per 23,000 slices, as in the design
// target.
func largeTable(t testing.TB, revision uint64, servers, count int) *Table {
	const perService = 23_000
	d := &Delta{Revision: revision}
	for base := 0; base < count; base += perService {
		name := fmt.Sprintf("s%02d", base/perService)
		d.Services = append(d.Services, Service{File: &service.File{Service: name, Key: &service.KeySource{Header: "X"}}})
		c, n := SliceChanges{Service: name}, min(perService, count-base)
		for i := range n {
			c.Slices = append(c.Slices, Slice{Start: math.MaxUint64 / uint64(n) * uint64(i), Epoch: uint64(i)*7919%100_000 + 1,
				State: SliceOwned, Owner: fmt.Sprint("b", i%servers), Standby: fmt.Sprint("b", (i+1)%servers)})
		}
		for i := range min(servers, n) {
			d.Backends = append(d.Backends, Backend{Service: name, Name: fmt.Sprint("b", i), Incarnation: "1f0e", Address: "10.0.0.1:80", DataCentre: "dc1"})
		}
		d.Slices = append(d.Slices, c)
	}
	out, err := Empty().Apply(d)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

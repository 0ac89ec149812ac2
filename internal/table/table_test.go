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

// naive is the same content as a Table in plain maps.
type naive struct {
	services map[string]Service
	backends map[BackendRef]Backend
	hosts    map[string]Host
	drains   map[string]bool
	slices   map[string]map[uint64]Slice
}

var (
	serviceNames = []string{"desk", "vault", "stock"}
	someNames    = []string{"", "b1", "b2", "b3", "b4"}
)

// draw changes both the naive table and a builder at random.
func (n *naive) draw(t *rapid.T, b *Builder, revision uint64) {
	name := rapid.SampledFrom(serviceNames).Draw(t, "service")
	if _, ok := n.services[name]; !ok {
		s := Service{Revision: revision, File: &service.File{Service: name, Key: &service.KeySource{Header: "X"},
			Match: service.Match{PathPrefixes: []string{"/" + name + "/"}}, Expect: []service.Expectation{{Line: 3}}}}
		n.services[name], n.slices[name] = s, map[uint64]Slice{}
		b.PutService(s)
	}
	for range rapid.IntRange(0, 4).Draw(t, "backends") {
		r := Backend{Service: name, Name: rapid.SampledFrom(someNames[1:]).Draw(t, "name"), Epoch: revision,
			Lost: rapid.Bool().Draw(t, "lost"), Draining: rapid.Bool().Draw(t, "draining")}
		ref := BackendRef{Service: name, Name: r.Name}
		if n.backends[ref] = r; rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
			delete(n.backends, ref)
			b.RemoveBackend(ref)
		} else {
			b.PutBackend(r)
		}
	}
	host := Host{Name: rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"), Joined: revision}
	if n.hosts[host.Name] = host; rapid.Bool().Draw(t, "leaves") {
		delete(n.hosts, host.Name)
		b.RemoveHost(host.Name)
	} else {
		b.PutHost(host)
	}
	dc := rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "dc")
	n.drains[dc] = rapid.Bool().Draw(t, "out")
	b.PutDrain(dc, n.drains[dc])
	n.drawSlices(t, b, name, revision)
}

func (n *naive) drawSlices(t *rapid.T, b *Builder, service string, revision uint64) {
	count := rapid.SampledFrom([]int{0, 1, 3, 700}).Draw(t, "slices")
	step := rapid.SampledFrom([]uint64{1, 1 << 50, math.MaxUint64}).Draw(t, "step")
	from := rapid.Uint64Range(0, 1<<52).Draw(t, "from")
	if len(n.slices[service]) == 0 {
		count, from = count+1, 0
	}
	for i := range count {
		s := Slice{Start: from + uint64(i)*step, Epoch: revision,
			State: SliceState(rapid.IntRange(1, 3).Draw(t, "state")),
			Owner: someNames[i%5], Next: someNames[(i+1)%5], Standby: someNames[int(revision)%5]}
		n.slices[service][s.Start] = s
		b.PutSlice(service, s)
	}
}

// check compares a table with the naive one.
func (n *naive) check(t *rapid.T, got *Table) {
	is := is.New(t)
	is.Equal(len(got.Services()), len(n.services))
	is.Equal(len(got.Hosts()), len(n.hosts))
	for name, h := range n.hosts {
		is.Equal(*got.Host(name), h)
	}
	for dc, out := range n.drains {
		is.Equal(slices.Contains(got.Drained(), dc), out)
	}
	members := 0
	for ref, b := range n.backends {
		is.Equal(*got.Backend(ref.Service, ref.Name), b)
		if !b.Lost && !b.Draining {
			is.True(slices.Contains(got.Members(ref.Service), got.Backend(ref.Service, ref.Name)))
			members++
		}
	}
	for name, s := range n.services {
		is.Equal(got.Service(name), &s)
		matched, prefix, ok := got.Match("x", "/"+name+"/y")
		is.True(ok && matched == got.Service(name) && prefix == "/"+name+"/")
		members -= len(got.Members(name))
		n.checkSlices(t, got, name)
	}
	is.Equal(members, 0)
}

func (n *naive) checkSlices(t *rapid.T, got *Table, service string) {
	starts := slices.Sorted(maps.Keys(n.slices[service]))
	if got.SliceCount(service) != len(starts) {
		t.Fatalf("%s: %d slices, want %d", service, got.SliceCount(service), len(starts))
	}
	owned := map[string]int{}
	for i, start := range starts {
		want := n.slices[service][start]
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
	for _, name := range someNames[1:] {
		if n := len(got.SlicesOf(service, name)); n != owned[name] {
			t.Fatalf("%s owns %d slices, want %d", name, n, owned[name])
		}
	}
}

// Guards against a delta, a sum of deltas or a snapshot that leads to another
// table than the one built from scratch, and against a table that changes after
// it was published.
func TestDeltasEqualRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := &naive{map[string]Service{}, map[BackendRef]Backend{}, map[string]Host{}, map[string]bool{}, map[string]map[uint64]Slice{}}
		current, sum := Empty(), NewBuilder(0)
		for revision := uint64(1); revision <= uint64(rapid.IntRange(1, 6).Draw(t, "steps")); revision++ {
			before, _ := current.Snapshot()
			b := NewBuilder(current.Revision())
			n.draw(t, b, revision)
			data, err := b.Delta(revision).Encode()
			is.NoErr(err)
			d, err := DecodeDelta(data)
			is.NoErr(err)
			next, err := current.Apply(d)
			is.NoErr(err)
			sum.Add(d)
			after, _ := current.Snapshot()
			is.True(bytes.Equal(before, after)) // the old table did not change
			n.check(t, next)
			current = next
		}
		merged, err := Empty().Apply(sum.Delta(current.Revision()))
		is.NoErr(err)
		n.check(t, merged)
		data, _ := current.Snapshot()
		restored, err := DecodeSnapshot(data)
		is.True(err == nil && restored.Revision() == current.Revision())
		n.check(t, restored)
	})
}

// Guards against a table that goes back to an older revision or skips a delta.
func TestApplyRefusesOtherRevisions(t *testing.T) {
	is := is.New(t)
	at5, err := Empty().Apply(&Delta{Revision: 5})
	is.NoErr(err)
	for _, d := range []Delta{{Base: 4, Revision: 6}, {Base: 6, Revision: 7}, {Base: 5, Revision: 5}, {Base: 5, Revision: 4}} {
		_, err := at5.Apply(&d)
		is.True(errors.Is(err, ErrRevision))
	}
	for _, d := range []Delta{{Backends: []Backend{{Service: "none"}}}, {Slices: []SliceChanges{{Service: "none", Slices: make([]Slice, 1)}}}} {
		d.Base, d.Revision = 5, 6
		_, err := at5.Apply(&d)
		is.True(errors.Is(err, ErrInvalid))
	}
}

// Guards against input that makes the decoder panic or allocate without bound,
// and against accepted input that does not encode to the same table again.
func FuzzDecodeSnapshot(f *testing.F) {
	for _, n := range []int{0, 3} {
		data, _ := bigTable(f, 3, max(n, 1), n).Snapshot()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		again, _ := decoded.Snapshot()
		twice, err := DecodeSnapshot(again)
		if err != nil {
			t.Fatal(err)
		}
		if third, _ := twice.Snapshot(); !bytes.Equal(again, third) {
			t.Fatal("the encoding of a decoded table is not stable")
		}
	})
}

// bigTable has one service per 23,000 slices, as at the design target.
func bigTable(t testing.TB, revision uint64, servers, count int) *Table {
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

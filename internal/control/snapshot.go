package control

import (
	"bytes"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/table"
)

// snapshotVersion is the format of State.Snapshot. A reader refuses others.
const snapshotVersion = 2

// snapshot is the stored form of the replicated state. Services and slices are
// in the table.
type snapshot struct {
	Version  int
	Revision uint64
	Operated uint64
	Table    []byte
	Fleet    fleet.Dump
	Sources  []source
	Results  []result
	Items    []items.Item
	Declared []string
}

// Snapshot returns the encoded replicated state.
func (s *State) Snapshot() ([]byte, error) {
	t := s.Table()
	encoded, err := t.Snapshot()
	if err != nil {
		return nil, errors.Trace(err)
	}
	snap := snapshot{
		Version:  snapshotVersion,
		Revision: t.Revision(),
		Operated: s.OperatorRevision(),
		Table:    encoded,
		Fleet:    s.fleet.Dump(),
	}
	for _, name := range sortedNames(s.sources) {
		snap.Sources = append(snap.Sources, *s.sources[name])
	}
	snap.Items = s.items.Load().All()
	snap.Declared = sortedNames(s.declared)
	for _, r := range s.results.order {
		snap.Results = append(snap.Results, *r)
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err = enc.Encode(&snap)
	return buf.Bytes(), errors.Annotate(err, "encoding control snapshot")
}

// Restore replaces the whole state by a snapshot that was taken at a log index. On an
// error the state is unchanged.
func (s *State) Restore(index uint64, data []byte) error {
	var snap snapshot
	if err := msgpack.Unmarshal(data, &snap); err != nil {
		return errors.Annotate(err, "decoding control snapshot")
	}
	if snap.Version != snapshotVersion {
		return errors.Errorf("control snapshot has format %d, this program reads %d", snap.Version, snapshotVersion)
	}
	if snap.Revision > index {
		return errors.Errorf("control snapshot of index %d has revision %d", index, snap.Revision)
	}
	t, err := table.DecodeSnapshot(snap.Table)
	if err != nil {
		return errors.Annotate(err, "control snapshot")
	}
	sources := map[string]*source{}
	for i := range snap.Sources {
		src := &snap.Sources[i]
		sv := t.Service(src.Service)
		if sv == nil {
			return errors.Errorf("control snapshot has a file of service %q, which is not in its table", src.Service)
		}
		src.file = sv.File
		sources[src.Service] = src
	}
	declaredServices := map[string]*declaredService{}
	for _, name := range snap.Declared {
		sv := t.Service(name)
		if sv == nil {
			return errors.Errorf("control snapshot declares service %q, which is not in its table", name)
		}
		declaredServices[name] = &declaredService{file: sv.File, revision: sv.Revision}
	}
	s.declared = declaredServices
	s.items.Store(items.NewSet(snap.Items...))
	s.fleet = fleet.Load(snap.Fleet)
	s.sources = sources
	s.slices = loadSlices(t)
	for name := range declaredServices {
		if o := s.slices[name]; o != nil {
			o.DisableStandbys()
		}
	}
	s.results = newResults()
	for i := range snap.Results {
		s.results.add(&snap.Results[i])
	}
	atomic.StoreUint64(&s.operatorRevision, snap.Operated)
	s.storeHosts()
	s.storeOperatorView()
	s.history.reset(t.Revision())
	s.setTable(t)
	return nil
}

func loadSlices(t *table.Table) map[string]*ownership.Slices {
	out := map[string]*ownership.Slices{}
	for _, sv := range t.Services() {
		name := sv.File.Service
		if !sv.File.Keyed() {
			continue
		}
		list := make([]table.Slice, 0, t.SliceCount(name))
		for slice := range t.AllSlices(name) {
			list = append(list, slice)
		}
		out[name] = ownership.Load(name, list)
	}
	return out
}

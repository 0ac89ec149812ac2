package table

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/service"
)

// formatVersion is the first value of every encoding. Decoding fails on any other.
const formatVersion = 2

// minElementBytes is the size of the smallest encoded slice. A list is allocated for
// at most as many elements of this size as the rest of the input can hold, so that
// a wrong length allocates little.
const minElementBytes = 6

// Encode returns the binary form of d.
func (d *Delta) Encode() ([]byte, error) {
	var buf bytes.Buffer
	w := &writer{enc: msgpack.NewEncoder(&buf)}
	w.enc.UseCompactInts(true)
	w.uint(formatVersion)
	w.uint(d.Base)
	w.uint(d.Revision)
	writeList(w, d.Services, w.service)
	w.enc.UseArrayEncodedStructs(true)
	w.enc.SetCustomStructTag(structTag)
	writeList(w, d.Backends, func(b *Backend) { w.value(b) })
	writeList(w, d.RemovedBackends, func(r *BackendRef) { w.value(r) })
	writeList(w, d.Hosts, func(h *Host) { w.value(h) })
	writeList(w, d.RemovedHosts, func(s *string) { w.value(s) })
	writeList(w, d.Drains, func(c *DrainChange) { w.value(c) })
	writeList(w, d.Items, func(i *items.Item) { w.value(i) })
	writeList(w, d.Slices, w.slices)
	if list := organisationParts(d.Items); len(list) > 0 {
		writeList(w, list, func(p *organisationPart) { w.value(p) })
	}
	return buf.Bytes(), errors.Annotate(w.err, "encoding table delta")
}

// DecodeDelta reads the binary form of a delta. It returns ErrInvalid for any other
// input.
func DecodeDelta(data []byte) (*Delta, error) {
	buf := bytes.NewReader(data)
	r := &reader{buf: buf, dec: msgpack.NewDecoder(buf)}
	if v := r.uint(); r.err == nil && v != formatVersion {
		return nil, errors.Annotatef(ErrInvalid, "format version %d, this program reads %d", v, formatVersion)
	}
	r.dec.SetCustomStructTag(structTag)
	d := &Delta{Base: r.uint(), Revision: r.uint()}
	d.Services = readList(r, r.service)
	d.Backends = readList(r, func(b *Backend) { r.value(b) })
	d.RemovedBackends = readList(r, func(b *BackendRef) { r.value(b) })
	d.Hosts = readList(r, func(h *Host) { r.value(h) })
	d.RemovedHosts = readList(r, func(s *string) { r.value(s) })
	d.Drains = readList(r, func(c *DrainChange) { r.value(c) })
	d.Items = readList(r, func(i *items.Item) { r.value(i) })
	d.Slices = readList(r, r.slices)
	if r.err == nil && buf.Len() > 0 {
		setOrganisationParts(d.Items, readList(r, func(p *organisationPart) { r.value(p) }))
	}
	if r.err != nil {
		return nil, errors.Annotatef(ErrInvalid, "decoding table delta: %v", r.err)
	}
	if buf.Len() > 0 {
		return nil, errors.Annotatef(ErrInvalid, "%d bytes after the table delta", buf.Len())
	}
	return d, nil
}

// Snapshot returns the binary form of the whole table.
func (t *Table) Snapshot() ([]byte, error) { return t.fullDelta().Encode() }

// DecodeSnapshot reads the binary form of a whole table. It returns ErrInvalid for
// any other input.
func DecodeSnapshot(data []byte) (*Table, error) {
	d, err := DecodeDelta(data)
	if err != nil {
		return nil, err
	}
	if d.Base != 0 {
		return nil, errors.Annotatef(ErrInvalid, "a delta from revision %d is not a snapshot", d.Base)
	}
	return Empty().apply(d)
}

// fullDelta returns the delta from the empty table to t.
func (t *Table) fullDelta() *Delta {
	d := &Delta{Revision: t.revision, Hosts: t.hosts, Items: t.items.All()}
	for _, s := range t.Services() {
		name := s.File.Service
		d.Services = append(d.Services, *s)
		for _, b := range t.Backends(name) {
			d.Backends = append(d.Backends, *b)
		}
		if n := t.SliceCount(name); n > 0 {
			changes := SliceChanges{Service: name, Slices: make([]Slice, 0, n)}
			for s := range t.AllSlices(name) {
				changes.Slices = append(changes.Slices, s)
			}
			d.Slices = append(d.Slices, changes)
		}
	}
	for _, dc := range t.drained {
		d.Drains = append(d.Drains, DrainChange{DataCentre: dc, Out: true})
	}
	return d
}

// writer encodes values until the first error.
type writer struct {
	enc *msgpack.Encoder
	err error
}

func (w *writer) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) uint(v uint64) { w.setError(w.enc.EncodeUint(v)) }
func (w *writer) value(v any)   { w.setError(w.enc.Encode(v)) }
func (w *writer) text(v string) { w.setError(w.enc.EncodeString(v)) }
func (w *writer) service(s *Service) {
	w.uint(s.Revision)
	w.value(s.File)
}

func writeList[T any](w *writer, list []T, write func(*T)) {
	w.setError(w.enc.EncodeArrayLen(len(list)))
	for i := range list {
		write(&list[i])
	}
}

// slices writes each name that occurs once, and then each slice as six integers, with
// ids in place of names.
func (w *writer) slices(c *SliceChanges) {
	ids := map[string]uint64{"": 0}
	dictionary := []string{}
	idOf := func(name string) uint64 {
		n, ok := ids[name]
		if !ok {
			n = uint64(len(ids))
			ids[name] = n
			dictionary = append(dictionary, name)
		}
		return n
	}
	for i := range c.Slices {
		idOf(c.Slices[i].Owner)
		idOf(c.Slices[i].Next)
		idOf(c.Slices[i].Standby)
	}
	w.text(c.Service)
	writeList(w, dictionary, func(s *string) { w.text(*s) })
	writeList(w, c.Slices, func(s *Slice) {
		w.uint(s.Start)
		w.uint(s.Epoch)
		w.uint(uint64(s.State))
		w.uint(idOf(s.Owner))
		w.uint(idOf(s.Next))
		w.uint(idOf(s.Standby))
	})
}

// reader decodes values until the first error.
type reader struct {
	buf *bytes.Reader // the input that dec has not read yet
	dec *msgpack.Decoder
	err error
}

func (r *reader) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeUint64()
	r.setError(err)
	return v
}

func (r *reader) text() string {
	if r.err != nil {
		return ""
	}
	v, err := r.dec.DecodeString()
	r.setError(err)
	return v
}

func (r *reader) value(v any) {
	if r.err == nil {
		r.setError(r.dec.Decode(v))
	}
}

func (r *reader) service(s *Service) {
	s.Revision = r.uint()
	s.File = new(service.File)
	r.value(s.File)
	if r.err == nil && s.File.Service == "" {
		r.setError(errors.New("a service has no name"))
	}
}

func readList[T any](r *reader, read func(*T)) []T {
	if r.err != nil {
		return nil
	}
	n, err := r.dec.DecodeArrayLen()
	r.setError(err)
	if n <= 0 || r.err != nil {
		return nil
	}
	out := make([]T, 0, min(n, r.buf.Len()/minElementBytes+1))
	for i := 0; i < n && r.err == nil; i++ {
		var zero T
		out = append(out, zero)
		read(&out[i]) // in place: a variable of its own would be allocated per element
	}
	return out
}

func (r *reader) slices(c *SliceChanges) {
	c.Service = r.text()
	dictionary := append([]string{""}, readList(r, func(s *string) { *s = r.text() })...)
	readName := func() string {
		id := r.uint()
		if id >= uint64(len(dictionary)) {
			r.setError(errors.Errorf("name id %d is out of range: there are %d names", id, len(dictionary)))
			return ""
		}
		return dictionary[id]
	}
	c.Slices = readList(r, func(s *Slice) {
		s.Start, s.Epoch = r.uint(), r.uint()
		state := r.uint()
		if state > uint64(SliceUnowned) {
			r.setError(errors.Errorf("unknown slice state %d", state))
		}
		s.State = SliceState(state)
		s.Owner, s.Next, s.Standby = readName(), readName(), readName()
	})
}

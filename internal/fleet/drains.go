package fleet

import (
	"strings"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
)

// DrainKey identifies a data centre or backend server that can be drained.
type DrainKey struct {
	Kind command.DrainKind
	Name string
}

// Drain is the record of a data centre or backend server that was taken out of
// service at least once.
type Drain struct {
	DrainKey
	Out       bool
	Version   uint64
	RequestID string // of the command that made this version
	Result    []byte // its encoded result
}

// DrainRecord returns the drain record for key, or nil.
func (f *Fleet) DrainRecord(key DrainKey) *Drain { return f.drains[key] }

// CheckDrain validates a drain command and returns the version that it creates.
// repeat is true when the command equals the one that made the current version.
// It returns ErrInvalid for an unknown kind or name, ErrConflict when another
// command made the version, and ErrStale for any other version.
func (f *Fleet) CheckDrain(d *command.Drain) (version uint64, repeat bool, err error) {
	key := DrainKey{Kind: d.Kind, Name: d.Name}
	record := f.drains[key]
	if record == nil {
		record = &Drain{DrainKey: key}
		if err := f.checkDrainName(d); err != nil {
			return 0, false, err
		}
	}
	version = d.Version
	if version == 0 {
		version = record.Version + 1
	}
	switch {
	case version == record.Version+1:
		return version, false, nil
	case version == record.Version && d.Out == record.Out:
		return version, true, nil
	case version == record.Version:
		return 0, false, errors.WithType(errors.Errorf("version %d of %s %s is %s, made by request %s",
			version, d.Kind, d.Name, drainStateText(record.Out), record.RequestID), ErrConflict)
	default:
		return 0, false, stalef("version %d of %s %s builds on version %d, but the current version is %d",
			version, d.Kind, d.Name, version-1, record.Version)
	}
}

func drainStateText(out bool) string {
	if out {
		return "out"
	}
	return "in service"
}

func (f *Fleet) checkDrainName(d *command.Drain) error {
	switch d.Kind {
	case command.DrainBackend:
		ref, ok := parseBackendRef(d.Name)
		if !ok {
			return invalidf("%q is not SERVICE/BACKEND", d.Name)
		}
		if f.backends[ref] == nil {
			return invalidf("backend server %s is not registered", d.Name)
		}
	case command.DrainDataCentre:
		if !f.hasDataCentre(d.Name) {
			return invalidf("no host and no backend server is in data centre %q", d.Name)
		}
	default:
		return invalidf("unknown kind %q, must be %s or %s", d.Kind, command.DrainDataCentre, command.DrainBackend)
	}
	return nil
}

func (f *Fleet) hasDataCentre(name string) bool {
	for _, h := range f.hosts {
		if h.DataCentre == name {
			return true
		}
	}
	for _, b := range f.backends {
		if b.DataCentre == name {
			return true
		}
	}
	return false
}

func parseBackendRef(name string) (table.BackendRef, bool) {
	service, backend, ok := strings.Cut(name, "/")
	return table.BackendRef{Service: service, Name: backend}, ok && service != "" && backend != ""
}

// SetDrain stores a drain record that CheckDrain allowed and updates the draining
// flag of the hosts and backend servers concerned. It returns the services whose
// backend servers changed.
func (f *Fleet) SetDrain(record Drain) map[string]bool {
	f.drains[record.DrainKey] = &record
	if record.Kind == command.DrainDataCentre {
		f.changedDrains[record.Name] = true
		for name, h := range f.hosts {
			if h.DataCentre == record.Name {
				h.Draining = record.Out
				f.changedHosts[name] = true
			}
		}
	}
	services := map[string]bool{}
	for ref, b := range f.backends {
		if draining := f.isDrained(ref, b.DataCentre); draining != b.Draining {
			b.Draining = draining
			// It may have gone cold while drained; its next heartbeat tells.
			b.Cold = b.Cold || (b.ByHeartbeat && !draining)
			f.changedBackends[ref] = true
			services[ref.Service] = true
		}
	}
	return services
}

func (f *Fleet) isDataCentreDrained(name string) bool {
	d := f.drains[DrainKey{Kind: command.DrainDataCentre, Name: name}]
	return d != nil && d.Out
}

func (f *Fleet) isDrained(ref table.BackendRef, dataCentre string) bool {
	d := f.drains[DrainKey{Kind: command.DrainBackend, Name: ref.Service + "/" + ref.Name}]
	return (d != nil && d.Out) || f.isDataCentreDrained(dataCentre)
}

package control

import (
	"math"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Smoothing and bounds of measured loads.
const (
	// loadHalfLife is the age at which a measurement counts half. The hottest keys
	// change within minutes, and renewals report five times a second.
	loadHalfLife = 5 * time.Second
	// maxHotKeys bounds the keys tracked per service.
	maxHotKeys = 4096
	// minLoad is the requests per second below which a measurement is dropped.
	minLoad = 0.001
)

// loads are the smoothed requests per second that dispatchers reported.
type loads struct {
	services map[string]*serviceLoads
	began    time.Time // of the measurement
	folded   time.Time
}

type serviceLoads struct {
	slices map[uint64]*rate // by start
	keys   map[uint64]*rate // by hash
	// servers are the service times by backend server.
	servers map[string]*serverLoad
	// medianMs is the median service time of the servers; zero while unknown.
	medianMs float64
}

func newLoads() *loads { return &loads{services: map[string]*serviceLoads{}} }

// add takes in the reports about published services.
func (l *loads) add(reports []wire.SliceLoads, t *table.Table) {
	for _, r := range reports {
		if t.Service(r.Service) == nil {
			continue
		}
		s := l.services[r.Service]
		if s == nil {
			s = &serviceLoads{slices: map[uint64]*rate{}, keys: map[uint64]*rate{}, servers: map[string]*serverLoad{}}
			l.services[r.Service] = s
		}
		server := s.servers[r.Backend]
		if server == nil {
			server = &serverLoad{}
			s.servers[r.Backend] = server
		}
		server.busyMs += uint64(max(0, r.BusyMs))
		for _, c := range r.Slices {
			addCount(s.slices, c.Start, c.Count)
			server.count += c.Count
		}
		for _, c := range r.Keys {
			addCount(s.keys, c.Hash, c.Count)
		}
	}
}

func addCount(rates map[uint64]*rate, id, count uint64) {
	r := rates[id]
	if r == nil {
		r = &rate{follow: followFor}
		rates[id] = r
	}
	r.count += count
}

// fold turns the counts since the last fold into rates.
func (l *loads) fold(now time.Time, t *table.Table) {
	elapsed := now.Sub(l.folded)
	first := l.folded.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	l.folded = now
	if first {
		l.began = now
		return // the time that the first counts cover is unknown
	}
	for name, s := range l.services {
		lives, keyLives := halfLives{loadHalfLife, loadHalfLife}, halfLives{loadHalfLife, loadHalfLife}
		if leasedByHeartbeat(t, name) {
			lives, keyLives = halfLives{fastHalfLife, slowHalfLife}, halfLives{fastHalfLife, fastHalfLife}
		}
		foldRates(s.slices, elapsed, lives)
		foldRates(s.keys, elapsed, keyLives)
		s.boundKeys()
		s.foldServers(now, elapsed)
	}
}

// decay returns the weight of a new measurement after a time in which the older
// ones have lost part of theirs.
func decay(elapsed, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

func foldRates(rates map[uint64]*rate, elapsed time.Duration, lives halfLives) {
	for id, r := range rates {
		r.fold(elapsed, lives)
		if r.perSecond() < minLoad {
			delete(rates, id)
		}
	}
}

// boundKeys drops the coldest keys beyond maxHotKeys.
func (s *serviceLoads) boundKeys() {
	if len(s.keys) <= maxHotKeys {
		return
	}
	all := make([]float64, 0, len(s.keys))
	for _, r := range s.keys {
		all = append(all, r.perSecond())
	}
	slices.Sort(all)
	least := all[len(all)-maxHotKeys]
	for hash, r := range s.keys {
		if r.perSecond() < least {
			delete(s.keys, hash)
		}
	}
}

// idle reports whether no load of a service is known.
func (l *loads) idle(service string) bool {
	s := l.services[service]
	return s == nil || len(s.slices) == 0
}

// split gives the measured load of hot keys to their new slices. Otherwise the
// slices that they were cut from would look hot until new reports outweigh the old.
func (l *loads) split(c *command.Split, t *table.Table) {
	s := l.services[c.Service]
	if s == nil {
		return
	}
	for _, start := range c.Cuts {
		s.cut(c.Service, start, t)
	}
	for _, hash := range c.Hashes {
		key := s.keys[hash]
		if own, ok := t.Lookup(c.Service, hash); !ok || key == nil || own.Start != hash || hash == 0 {
			continue
		}
		before, _ := t.Lookup(c.Service, hash-1)
		if r := s.slices[before.Start]; r != nil {
			r.part(min(key.perSecond()/r.perSecond(), 1))
		}
		s.slices[hash] = &rate{fast: key.fast, slow: key.slow}
	}
}

// cut divides the load of a slice that was cut at start in proportion to that of its
// keys. The sum of the keys' loads is not used: many of them are too small to be
// remembered.
func (s *serviceLoads) cut(service string, start uint64, t *table.Table) {
	part, ok := t.Lookup(service, start)
	if !ok || part.Start != start || start == 0 {
		return
	}
	before, _ := t.Lookup(service, start-1)
	r := s.slices[before.Start]
	if r == nil {
		return
	}
	inPart, inBoth := 0.0, 0.0
	for hash, key := range s.keys {
		if hash < before.Start || hash > part.Last {
			continue
		}
		inBoth += key.perSecond()
		if hash >= part.Start {
			inPart += key.perSecond()
		}
	}
	if inBoth == 0 {
		return
	}
	s.slices[start] = r.part(inPart / inBoth)
}

// view returns the rates of a service by slice start and by key hash.
func (l *loads) view(service string) Loads {
	v := Loads{}
	if s := l.services[service]; s != nil {
		v.Slices, v.Keys, v.Slow, v.Pace = rates(s.slices), rates(s.keys), s.slow(), s.pace()
		v.Service = time.Duration(s.medianMs * float64(time.Millisecond))
	}
	return v
}

func rates(in map[uint64]*rate) map[uint64]float64 {
	out := make(map[uint64]float64, len(in))
	for id, r := range in {
		out[id] = r.perSecond()
	}
	return out
}

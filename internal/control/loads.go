package control

import (
	"math"
	"slices"
	"time"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// Smoothing and limits of measured loads.
const (
	// loadHalfLife is the age at which a measurement has half its weight. The hottest
	// keys change within minutes, and session renewals report five times a second.
	loadHalfLife = 5 * time.Second
	// maxHotKeys bounds the keys tracked per service.
	maxHotKeys = 4096
	// minLoad is the requests per second below which a measurement is dropped.
	minLoad = 0.001
)

// loadTracker smooths the requests per second that dispatchers report.
type loadTracker struct {
	services      map[string]*serviceLoads
	measuredSince time.Time // time of the first update
	lastUpdate    time.Time
}

type serviceLoads struct {
	slices map[uint64]*rate // by start
	keys   map[uint64]*rate // by hash
	// servers holds the service times by backend server.
	servers map[string]*serverTiming
	// medianMs is the median service time of the servers; zero while unknown.
	medianMs float64
}

func newLoadTracker() *loadTracker { return &loadTracker{services: map[string]*serviceLoads{}} }

// addReports adds the counts that were reported for published services.
func (l *loadTracker) addReports(reports []wire.SliceLoads, t *table.Table) {
	for _, r := range reports {
		if t.Service(r.Service) == nil {
			continue
		}
		s := l.services[r.Service]
		if s == nil {
			s = &serviceLoads{slices: map[uint64]*rate{}, keys: map[uint64]*rate{}, servers: map[string]*serverTiming{}}
			l.services[r.Service] = s
		}
		server := s.servers[r.Backend]
		if server == nil {
			server = &serverTiming{}
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
		r = &rate{followRemaining: followDuration}
		rates[id] = r
	}
	r.count += count
}

// update turns the counts since the last update into rates.
func (l *loadTracker) update(now time.Time, t *table.Table) {
	elapsed := now.Sub(l.lastUpdate)
	first := l.lastUpdate.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	l.lastUpdate = now
	if first {
		l.measuredSince = now
		return // the period that the first counts cover is unknown
	}
	for name, s := range l.services {
		sliceHalfLives, keyHalfLives := halfLives{loadHalfLife, loadHalfLife}, halfLives{loadHalfLife, loadHalfLife}
		if leasedByHeartbeat(t, name) {
			sliceHalfLives, keyHalfLives = halfLives{fastHalfLife, slowHalfLife}, halfLives{fastHalfLife, fastHalfLife}
		}
		updateRates(s.slices, elapsed, sliceHalfLives)
		updateRates(s.keys, elapsed, keyHalfLives)
		s.dropLeastLoadedKeys()
		s.updateServers(now, elapsed)
	}
}

// newSampleWeight returns the weight of a new sample in an exponentially weighted
// average, given the time since the previous sample.
func newSampleWeight(elapsed, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

func updateRates(rates map[uint64]*rate, elapsed time.Duration, h halfLives) {
	for id, r := range rates {
		r.update(elapsed, h)
		if r.perSecond() < minLoad {
			delete(rates, id)
		}
	}
}

// dropLeastLoadedKeys keeps the maxHotKeys keys with the most load.
func (s *serviceLoads) dropLeastLoadedKeys() {
	if len(s.keys) <= maxHotKeys {
		return
	}
	all := make([]float64, 0, len(s.keys))
	for _, r := range s.keys {
		all = append(all, r.perSecond())
	}
	slices.Sort(all)
	threshold := all[len(all)-maxHotKeys]
	for hash, r := range s.keys {
		if r.perSecond() < threshold {
			delete(s.keys, hash)
		}
	}
}

// idle reports whether no load of a service is known.
func (l *loadTracker) idle(service string) bool {
	s := l.services[service]
	return s == nil || len(s.slices) == 0
}

// applySplit assigns the measured load of hot keys to their new slices. Otherwise the
// slices that they were split from would look hot until new reports outweigh the old.
func (l *loadTracker) applySplit(c *command.Split, t *table.Table) {
	s := l.services[c.Service]
	if s == nil {
		return
	}
	for _, start := range c.Cuts {
		s.splitAt(c.Service, start, t)
	}
	for _, hash := range c.Hashes {
		key := s.keys[hash]
		if slice, ok := t.Lookup(c.Service, hash); !ok || key == nil || slice.Start != hash || hash == 0 {
			continue
		}
		before, _ := t.Lookup(c.Service, hash-1)
		if r := s.slices[before.Start]; r != nil {
			r.splitOff(min(key.perSecond()/r.perSecond(), 1))
		}
		s.slices[hash] = &rate{fast: key.fast, slow: key.slow}
	}
}

// splitAt divides the load of a slice that was split at start in proportion to the load
// of its keys. The sum of the keys' loads is not used itself, because many of them are
// too small to be tracked.
func (s *serviceLoads) splitAt(service string, start uint64, t *table.Table) {
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
	s.slices[start] = r.splitOff(inPart / inBoth)
}

// current returns the loads of a service by slice start and by key hash, and the
// speeds of its servers.
func (l *loadTracker) current(service string) Loads {
	v := Loads{}
	if s := l.services[service]; s != nil {
		v.Slices, v.Keys, v.StragglerFactors, v.Speed = perSecondRates(s.slices), perSecondRates(s.keys), s.stragglerFactors(), s.speeds()
		v.MedianServiceTime = time.Duration(s.medianMs * float64(time.Millisecond))
	}
	return v
}

func perSecondRates(in map[uint64]*rate) map[uint64]float64 {
	out := make(map[uint64]float64, len(in))
	for id, r := range in {
		out[id] = r.perSecond()
	}
	return out
}

package permit

import "time"

const (
	// aheadTripShare is the part of the time to a request's target that a reply must take for
	// the request to be sent ahead of it: below, waiting costs the caller little.
	aheadTripShare = 0.1
	// aheadMaxWaited is the largest share of permit requests of a service that had to wait with
	// which others are sent ahead of their replies.
	aheadMaxWaited = 0.1
	// aheadMinReplies is the number of replies about a service that this share needs.
	aheadMinReplies = 10
	// aheadTripWeight and aheadWaitedWeight are the weights of a new sample.
	aheadTripWeight   = 0.2
	aheadWaitedWeight = 0.05
	// aheadMemory is how long replies count: as evidence of a service with room, and against a
	// server that had none.
	aheadMemory = 3 * time.Second
)

// Ahead decides whether a request is sent to its server before the reply to its permit request
// arrives. Where the replies come late over the host's own link, and the servers of the service
// have had room for nearly all recent requests, waiting costs the caller more than it saves the
// server. The permit issuer counts the request in any case. It is not safe for concurrent use.
type Ahead struct {
	// trip is the time that replies take, without the wait for a turn.
	trip     time.Duration
	tripAt   time.Time // of the last sample
	services map[string]*aheadService
	// fullAt is when a server last had no room.
	fullAt map[string]time.Time
}

type aheadService struct {
	waited    float64 // share of the requests that had to wait
	replies   int
	lastReply time.Time
}

// NewAhead returns an Ahead that has seen no reply.
func NewAhead() *Ahead {
	return &Ahead{services: map[string]*aheadService{}, fullAt: map[string]time.Time{}}
}

// RecordReply records that the reply to a permit request arrived after a time, and whether the
// server had room at once. A reply to a request that waited says nothing about the trip.
func (a *Ahead) RecordReply(now time.Time, service, server string, took time.Duration, hadRoom bool) {
	s := a.services[service]
	if s == nil {
		s = &aheadService{}
		a.services[service] = s
	}
	sample := 1.0
	if hadRoom {
		sample = 0
		a.recordTrip(now, took)
	} else {
		a.RecordFull(now, server)
	}
	s.replies++
	s.waited += max(aheadWaitedWeight, 1/float64(s.replies)) * (sample - s.waited)
	s.lastReply = now
}

// RecordTrip records how long a reply took that says nothing about a server, or how long none arrived.
func (a *Ahead) RecordTrip(now time.Time, took time.Duration) { a.recordTrip(now, took) }

func (a *Ahead) recordTrip(now time.Time, took time.Duration) {
	a.tripAt = now
	if a.trip == 0 {
		a.trip = took
	}
	a.trip += time.Duration(aheadTripWeight * float64(took-a.trip))
}

// RecordFull records that a server has no room.
func (a *Ahead) RecordFull(now time.Time, server string) {
	a.fullAt[server] = now
	if len(a.fullAt) > maxFullServers {
		a.forgetOld(now)
	}
}

// maxFullServers bounds the servers that are remembered beyond aheadMemory.
const maxFullServers = 1024

func (a *Ahead) forgetOld(now time.Time) {
	for server, at := range a.fullAt {
		if now.Sub(at) > aheadMemory {
			delete(a.fullAt, server)
		}
	}
}

// Trip returns the time that replies take, without the wait for a turn.
func (a *Ahead) Trip() time.Duration { return a.trip }

// May reports whether a request to a server is sent ahead of the reply. toTarget is the time to
// its target.
func (a *Ahead) May(now time.Time, service, server string, toTarget time.Duration) bool {
	s := a.services[service]
	if s == nil || s.replies < aheadMinReplies || s.waited > aheadMaxWaited || now.Sub(s.lastReply) > aheadMemory {
		return false
	}
	if at, ok := a.fullAt[server]; ok && now.Sub(at) <= aheadMemory {
		return false
	}
	return a.slow(toTarget)
}

// Slow reports whether replies are known to take a large part of the time to a request's target.
func (a *Ahead) Slow(now time.Time, toTarget time.Duration) bool {
	return now.Sub(a.tripAt) <= aheadMemory && a.slow(toTarget)
}

func (a *Ahead) slow(toTarget time.Duration) bool {
	return a.trip > time.Duration(aheadTripShare*float64(max(toTarget, 0)))
}

// Take gives a permit to a request that its host has sent already, and reports whether the
// server had room for it.
func (q *Queue) Take(now time.Time, r Request) (hadRoom bool) {
	if q.cost != nil {
		q.dropGoneHosts(now)
	} else {
		q.expire(now)
	}
	hadRoom = len(q.waiting) == 0 && q.freePermits() > 0
	e := &permitRequest{Request: r, arrived: now, lastPoll: now}
	if q.cost != nil {
		q.cost.shares.RecordAsked(now, r.Class)
		q.grantByCost(now, e)
		return hadRoom
	}
	q.granted[r.ID] = e
	return hadRoom
}

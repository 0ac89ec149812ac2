package scheduling

import (
	"slices"
	"time"
)

// certainWaitShare is the share of an estimated wait that is certain enough to refuse a request for:
// requests ahead of it may be withdrawn, or take less time than expected.
const certainWaitShare = 0.5

// Placement is the decision on one request.
type Placement struct {
	Request *Request
	// Start is when the server is expected to begin the request, or would begin it if it is
	// not reached in time.
	Start   time.Time
	Reached bool
}

// Plan decides in which order a server runs the requests that wait. free gives for each slot when it
// is expected to be free; a slot is not used before now. The requests that are reached come first,
// in the order of their start. Those that cannot be reached in time make room for others; their
// Start is when the planned work ends.
func Plan(now time.Time, free []time.Time, waiting []*Request) []Placement {
	slots := make([]time.Duration, len(free)) // from now
	for i := range free {
		slots[i] = max(free[i].Sub(now), 0)
	}
	left := make([]prospect, 0, len(waiting))
	for _, r := range waiting {
		left = append(left, newProspect(now, r))
	}
	placed := make([]Placement, 0, len(waiting))
	var missed []Placement
	for len(left) > 0 {
		slot := earliest(slots)
		start := slots[slot]
		certain := time.Duration(certainWaitShare * float64(start))
		best := -1
		kept := left[:0]
		for _, p := range left {
			if certain > p.latestStart {
				missed = append(missed, Placement{Request: p.request})
				continue
			}
			kept = append(kept, p)
			if last := len(kept) - 1; best < 0 || p.at(start).precedes(kept[best].at(start)) {
				best = last
			}
		}
		left = kept
		if best < 0 {
			break
		}
		placed = append(placed, Placement{Request: left[best].request, Start: now.Add(start), Reached: true})
		slots[slot] = start + left[best].request.Work
		left = slices.Delete(left, best, best+1)
	}
	end := now.Add(slots[earliest(slots)])
	for i := range missed {
		missed[i].Start = end
	}
	return append(placed, missed...)
}

// prospect is a request with the times that matter to a plan, from the time of the plan.
type prospect struct {
	request *Request
	// latestStart is the latest start, and onTimeStart the latest one that meets the target.
	latestStart, onTimeStart time.Duration
	onTimeValue, lateValue   float64
}

func newProspect(now time.Time, r *Request) prospect {
	p := prospect{request: r, latestStart: r.latestStart().Sub(now), onTimeStart: r.latestOnTimeStart().Sub(now)}
	p.onTimeValue = r.valueOnTime()
	p.lateValue = lateWeight * p.onTimeValue
	return p
}

// at returns the request as a candidate for a start.
func (p *prospect) at(start time.Duration) candidate {
	if start <= p.onTimeStart {
		return candidate{p.request, p.onTimeValue}
	}
	return candidate{p.request, p.lateValue}
}

func earliest(slots []time.Duration) int {
	first := 0
	for i, t := range slots {
		if t < slots[first] {
			first = i
		}
	}
	return first
}

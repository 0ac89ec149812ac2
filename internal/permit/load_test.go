package permit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// load is the traffic for the keys of one server, with callers that return once or
// more after a refusal.
type load struct {
	slots     int
	use       float64 // load relative to what the server can work on
	work      time.Duration
	target    time.Duration // for an answer of full use
	deadline  time.Duration // of the caller
	timeout   time.Duration // of the route
	returns   int           // of a caller that was refused
	way       time.Duration // from the queue's decision to the server and back
	lateWorth float64
	seconds   float64
}

// result is what became of the requests of a load, as shares of their worth.
type result struct {
	worth, onTime, late, refused, lost float64
}

type event struct {
	at   time.Time
	kind int
	r    *request
}

const (
	arrives = iota
	ends
	looks
)

type request struct {
	id       ID
	rank     int
	worth    float64
	born     time.Time // first attempt
	until    time.Time // of this attempt
	attempts int
	work     time.Duration
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play sends the load to one queue.
func (l load) play(seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 2))
	q, now := New(l.slots), start
	var all events
	free := make([]time.Time, l.slots)
	byID := map[ID]*request{}
	var out result
	total := 0.0
	next := ID(0)
	end := start.Add(time.Duration(l.seconds * float64(time.Second)))
	perSecond := l.use * float64(l.slots) / l.work.Seconds()
	gap := func() time.Duration { return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)) }
	const spread = 0.8 // of the logarithm of the work
	spawn := func(at time.Time) {
		next++
		r := &request{id: next, rank: 2, worth: 1, born: at}
		if rnd.Float64() < 1.0/3 {
			r.rank, r.worth = 1, 2
		}
		r.work = time.Duration(float64(l.work) * math.Exp(spread*rnd.NormFloat64()-spread*spread/2))
		total += r.worth
		heap.Push(&all, event{at, arrives, r})
	}
	sent := func(r *request) {
		slot := 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		begin := now.Add(l.way / 2)
		if free[slot].After(begin) {
			begin = free[slot]
		}
		free[slot] = begin.Add(r.work)
		if free[slot].After(r.until) {
			free[slot] = r.until // the server stops at the deadline
			if begin.After(r.until) {
				free[slot] = begin
			}
		}
		heap.Push(&all, event{free[slot].Add(l.way / 2), ends, r})
	}
	refused := func(r *request, wait time.Duration) {
		left := r.born.Add(l.deadline).Sub(now)
		if r.attempts > l.returns || left < 50*time.Millisecond {
			out.refused += r.worth
			return
		}
		back := min(max(wait, 40*time.Millisecond), left/3)
		back += time.Duration(0.3 * rnd.Float64() * float64(back))
		r.id += 1 << 32
		heap.Push(&all, event{now.Add(back), arrives, r})
	}
	change := func() {
		for _, id := range q.Next(now) {
			r := byID[id]
			switch s, wait := q.Poll(now, id); s {
			case Granted:
				sent(r)
			case Refused:
				refused(r, wait)
			}
		}
	}
	spawn(start)
	heap.Push(&all, event{start, looks, nil})
	for len(all) > 0 {
		e := heap.Pop(&all).(event)
		now = e.at
		switch e.kind {
		case arrives:
			r := e.r
			if r.attempts == 0 && now.Before(end) {
				spawn(now.Add(gap()))
			}
			r.attempts++
			byID[r.id] = r
			left := r.born.Add(l.deadline).Sub(now)
			r.until = now.Add(min(left, l.timeout))
			// Entry hosts do not know of a caller's earlier attempts.
			a := Ask{ID: r.id, Rank: r.rank, Target: now.Add(l.target), Until: r.until, Service: l.work}
			switch s, wait := q.Ask(now, a); s {
			case Granted:
				sent(r)
			case Refused:
				refused(r, wait)
			}
		case ends:
			r := e.r
			q.Done(r.id, min(r.work, r.until.Sub(r.born)))
			switch took := now.Sub(r.born); {
			case now.After(r.until):
				out.lost += r.worth
			case took <= l.target:
				out.onTime += r.worth
			default:
				out.late += r.worth
			}
		case looks:
			for _, w := range q.waiting {
				w.polled = now // their hosts go on asking
			}
			if now.Before(end.Add(l.deadline)) {
				heap.Push(&all, event{now.Add(20 * time.Millisecond), looks, nil})
			}
		}
		change()
	}
	out.onTime, out.late, out.refused, out.lost = out.onTime/total, out.late/total, out.refused/total, out.lost/total
	out.worth = out.onTime + l.lateWorth*out.late
	return out
}

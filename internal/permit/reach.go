package permit

import "time"

const (
	// silentPause is how long a host that did not answer is not asked at first. The pause
	// doubles with each further ask that is not answered, up to maxSilentPause.
	silentPause    = time.Second
	maxSilentPause = 4 * time.Second
	// lateAsks is the number of unanswered asks in a row after which a host is left alone
	// if others were heard meanwhile: one answer may be late, and while hosts differ in whom
	// they ask, a server has two queues. After silentAsks it is left alone in any case.
	lateAsks   = 2
	silentAsks = 3
)

// Reach is what an entry host knows of the hosts that it asks for permits: which of them
// answer. It tells a host that is gone from a crowded link of its own, on which all
// answers are late. It is not safe for concurrent use.
type Reach struct {
	hosts map[string]*reached
	// heard is the last answer of any host.
	heard time.Time
}

type reached struct {
	silent int // unanswered asks in a row
	pause  time.Duration
	until  time.Time
	// tried is set while the first ask after a pause is on its way.
	tried bool
}

// NewReach returns the knowledge of a host that has asked nobody.
func NewReach() *Reach { return &Reach{hosts: map[string]*reached{}} }

// MayAsk reports whether a host is to be asked at now. After a pause, one ask tries
// the host before others follow.
func (r *Reach) MayAsk(now time.Time, host string) bool {
	h := r.hosts[host]
	if h == nil || h.pause == 0 {
		return true
	}
	if now.Before(h.until) {
		return false
	}
	h.until, h.tried = now.Add(h.pause), true
	return true
}

// Answered notes an answer.
func (r *Reach) Answered(now time.Time, host string) {
	r.heard = now
	delete(r.hosts, host)
}

// Silent notes that an ask that was sent at sent got no answer in time.
func (r *Reach) Silent(now, sent time.Time, host string) {
	h := r.host(host)
	h.silent++
	if h.silent >= lateAsks && r.heard.After(sent) || h.silent >= silentAsks || h.pause > 0 {
		h.leave(now)
	}
}

// Unreachable notes that a host cannot be asked.
func (r *Reach) Unreachable(now time.Time, host string) { r.host(host).leave(now) }

func (r *Reach) host(name string) *reached {
	h := r.hosts[name]
	if h == nil {
		h = &reached{}
		r.hosts[name] = h
	}
	return h
}

func (h *reached) leave(now time.Time) {
	if h.pause > 0 && !h.tried {
		return // asks that were on their way together fail together
	}
	h.pause = min(max(2*h.pause, silentPause), maxSilentPause)
	h.until, h.tried = now.Add(h.pause), false
}

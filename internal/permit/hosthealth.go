package permit

import "time"

const (
	// initialPause is how long a host that did not answer is not asked at first. The pause
	// doubles with each further request that times out, up to maxPause.
	initialPause = time.Second
	maxPause     = 4 * time.Second
	// minTimeouts is the number of consecutive timeouts after which a host is paused if others
	// have replied meanwhile. One reply may be late, and while entry hosts ask different hosts,
	// a server has two queues. After maxTimeouts the host is paused in any case.
	minTimeouts = 2
	maxTimeouts = 3
)

// HostHealth tracks which of the hosts that an entry host asks for permits reply. It tells a
// host that is gone from a congested link of the entry host itself, on which all replies are
// late. It is not safe for concurrent use.
type HostHealth struct {
	hosts map[string]*hostState
	// lastReply is the time of the last reply of any host.
	lastReply time.Time
}

type hostState struct {
	timeouts int // consecutive requests without a reply
	pause    time.Duration
	pauseEnd time.Time
	// probing is set while the first request after a pause is in flight.
	probing bool
}

// NewHostHealth returns a HostHealth that allows all hosts.
func NewHostHealth() *HostHealth { return &HostHealth{hosts: map[string]*hostState{}} }

// MayAsk reports whether a host may be asked at now. After a pause, one request probes the
// host before others follow.
func (r *HostHealth) MayAsk(now time.Time, host string) bool {
	h := r.hosts[host]
	if h == nil || h.pause == 0 {
		return true
	}
	if now.Before(h.pauseEnd) {
		return false
	}
	h.pauseEnd, h.probing = now.Add(h.pause), true
	return true
}

// RecordReply records a reply of a host and ends its pause.
func (r *HostHealth) RecordReply(now time.Time, host string) {
	r.lastReply = now
	delete(r.hosts, host)
}

// RecordTimeout records that a request that was sent at sent got no reply in time.
func (r *HostHealth) RecordTimeout(now, sent time.Time, host string) {
	h := r.stateOf(host)
	h.timeouts++
	if h.timeouts >= minTimeouts && r.lastReply.After(sent) || h.timeouts >= maxTimeouts || h.pause > 0 {
		h.startPause(now)
	}
}

// RecordUnreachable records that a host cannot be connected to, and pauses it.
func (r *HostHealth) RecordUnreachable(now time.Time, host string) { r.stateOf(host).startPause(now) }

func (r *HostHealth) stateOf(name string) *hostState {
	h := r.hosts[name]
	if h == nil {
		h = &hostState{}
		r.hosts[name] = h
	}
	return h
}

func (h *hostState) startPause(now time.Time) {
	if h.pause > 0 && !h.probing {
		return // requests that were in flight together fail together
	}
	h.pause = min(max(2*h.pause, initialPause), maxPause)
	h.pauseEnd, h.probing = now.Add(h.pause), false
}

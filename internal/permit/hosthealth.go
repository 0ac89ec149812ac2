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

// MayRequest reports whether a request may be sent to a host at now. After a pause, one
// request probes the host before others follow.
func (h *HostHealth) MayRequest(now time.Time, host string) bool {
	state := h.hosts[host]
	if state == nil || state.pause == 0 {
		return true
	}
	if now.Before(state.pauseEnd) {
		return false
	}
	state.pauseEnd, state.probing = now.Add(state.pause), true
	return true
}

// RecordReply records a reply of a host and ends its pause.
func (h *HostHealth) RecordReply(now time.Time, host string) {
	h.lastReply = now
	delete(h.hosts, host)
}

// RecordTimeout records that a request that was sent at sent got no reply in time.
func (h *HostHealth) RecordTimeout(now, sent time.Time, host string) {
	state := h.stateOf(host)
	state.timeouts++
	if state.timeouts >= minTimeouts && h.lastReply.After(sent) || state.timeouts >= maxTimeouts || state.pause > 0 {
		state.startPause(now)
	}
}

// RecordUnreachable records that a host cannot be connected to, and pauses it.
func (h *HostHealth) RecordUnreachable(now time.Time, host string) { h.stateOf(host).startPause(now) }

func (h *HostHealth) stateOf(name string) *hostState {
	state := h.hosts[name]
	if state == nil {
		state = &hostState{}
		h.hosts[name] = state
	}
	return state
}

func (s *hostState) startPause(now time.Time) {
	if s.pause > 0 && !s.probing {
		return // requests that were in flight together fail together
	}
	s.pause = min(max(2*s.pause, initialPause), maxPause)
	s.pauseEnd, s.probing = now.Add(s.pause), false
}

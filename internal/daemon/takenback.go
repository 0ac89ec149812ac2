package daemon

import (
	"time"

	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/permit"
)

const (
	// takenBackFor is how long an ask may arrive after it was taken back: on a connection
	// that was replaced because it was silent, as long as hosts wait for an answer.
	takenBackFor = time.Second
	// maxTakenBack bounds the asks that are remembered.
	maxTakenBack = 4096
)

// askKey names an ask at the desk.
type askKey struct {
	queue coldgate.Key
	id    permit.ID
}

// takenBack remembers asks that were taken back before they came. It is not safe for
// concurrent use.
type takenBack struct {
	at    map[askKey]time.Time
	order []askKey // oldest first
}

func newTakenBack() *takenBack { return &takenBack{at: map[askKey]time.Time{}} }

func (t *takenBack) add(now time.Time, k askKey) {
	t.clean(now)
	if _, known := t.at[k]; known {
		return
	}
	if len(t.order) >= maxTakenBack {
		t.dropOldest()
	}
	t.at[k] = now
	t.order = append(t.order, k)
}

func (t *takenBack) has(now time.Time, k askKey) bool {
	t.clean(now)
	_, known := t.at[k]
	return known
}

func (t *takenBack) clean(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.at[t.order[0]]) >= takenBackFor {
		t.dropOldest()
	}
}

func (t *takenBack) dropOldest() {
	delete(t.at, t.order[0])
	t.order = t.order[1:]
}

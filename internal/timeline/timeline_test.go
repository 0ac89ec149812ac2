package timeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
)

var start = time.UnixMilli(1_700_000_000_000)

// Guards against effects that sort before their causes because the wall clock
// of their host is behind.
func TestEffectsSortAfterTheirCauses(t *testing.T) {
	is := is.New(t)
	var rings []*Ring
	for i, behind := range []time.Duration{0, 30 * time.Second, 5 * time.Second} {
		wall := clock.NewFake(start.Add(-behind))
		rings = append(rings, NewRing(fmt.Sprintf("h%d", i), NewClock(wall.Now), 16))
	}
	var want []string
	for step := range 9 { // a message goes around the three hosts
		at := rings[step%3]
		at.Record(fmt.Sprint(step), "", "")
		want = append(want, fmt.Sprint(step))
		rings[(step+1)%3].Clock().Observe(at.Clock().Now())
	}
	var got []string
	for _, e := range Merge(rings[2].Since(0), rings[0].Since(0), rings[1].Since(0)) {
		got = append(got, e.Kind)
	}
	is.Equal(got, want)
}

// Guards against one wrong clock that drags the stamps of all hosts along, and
// against stamps that repeat or go back with the wall clock.
func TestClock(t *testing.T) {
	is := is.New(t)
	wall := clock.NewFake(start)
	c := NewClock(wall.Now)
	first := c.Now()
	is.Equal(first.Wall().UnixMilli(), start.UnixMilli())
	is.True(c.Now() > first) // same millisecond
	wall.Advance(-time.Hour)
	last := c.Now()
	is.True(last > first) // wall clock set back
	c.Observe(Stamp(start.Add(time.Hour).UnixMilli()) << logicalBits)
	is.Equal(c.Now(), last+1) // too far ahead
}

// Guards against a history that grows without bound, and against one that loses
// its order or its newest events when it wraps around.
func TestRingKeepsTheLatest(t *testing.T) {
	is := is.New(t)
	ring := NewRing("h1", NewClock(clock.NewFake(start).Now), 4)
	for n := range 11 {
		ring.Record(fmt.Sprint(n), "s", "")
		events := ring.Since(0)
		is.Equal(len(events), min(n+1, 4))
		is.Equal(events[len(events)-1].Kind, fmt.Sprint(n))
		is.Equal(events[0].Kind, fmt.Sprint(max(0, n-3)))
		is.Equal(len(ring.Since(events[0].Stamp)), len(events)-1) // only later ones
	}
	is.Equal(ring.Total(), uint64(11))
}

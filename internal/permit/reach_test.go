package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// Uploads crowd the host's own link and all answers are late. Guards against a host that
// takes its own link for the loss of all others.
func TestOwnCrowdedLinkIsNoLossOfOthers(t *testing.T) {
	is, r := is.New(t), NewReach()
	for _, host := range []string{"a", "b", "c", "d", "e"} {
		for range silentAsks - 1 {
			r.Silent(now, now.Add(-time.Second), host)
		}
		is.True(r.MayAsk(now, host))
	}
}

// Guards against a host that is left alone for one late answer: the others go on asking
// it, and its servers have two queues.
func TestOneLateAnswerIsNoLoss(t *testing.T) {
	is, r := is.New(t), NewReach()
	for i := range 5 {
		at := now.Add(time.Duration(i) * time.Second)
		r.Answered(at, "b")
		r.Silent(at, at.Add(-time.Millisecond), "a")
		is.True(r.MayAsk(at, "a"))
		r.Answered(at, "a")
	}
}

// One host is gone while the others answer. Guards against asks that go on running out of
// time there, and against a host that is not asked again once it is back.
func TestLostHostIsLeftAloneAndTriedAgain(t *testing.T) {
	is, r := is.New(t), NewReach()
	asks := 0
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		t := now.Add(at)
		r.Answered(t, "b")
		if r.MayAsk(t, "a") {
			asks++
			r.Silent(t, t.Add(-time.Millisecond), "a")
		}
	}
	is.True(asks <= 10) // of 3,000 requests
	back := now.Add(time.Minute)
	is.True(r.MayAsk(back, "a"))
	is.True(!r.MayAsk(back, "a")) // one ask tries it
	r.Answered(back, "a")
	is.True(r.MayAsk(back, "a"))
	is.True(r.MayAsk(back, "a"))
}

// Hosts agree on who keeps a queue without a word. Guards against queues that crowd on one
// host, and against queues that move although their host stays.
func TestQueuesSpreadOverHostsAndStay(t *testing.T) {
	is := is.New(t)
	hosts := []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720", "10.0.0.4:7720", "10.0.0.5:7720"}
	counts := map[string]int{}
	for i := range 500 {
		queue := fmt.Sprintf("desk/b%03d", i)
		order := Order(hosts, queue)
		counts[order[0]]++
		is.Equal(order, Order([]string{hosts[3], hosts[0], hosts[4], hosts[2], hosts[1]}, queue))
		without := Order(hosts[:4], queue)
		if order[0] != hosts[4] {
			is.Equal(without[0], order[0])
		} else {
			is.Equal(without[0], order[1])
		}
	}
	for _, host := range hosts {
		is.True(counts[host] > 60 && counts[host] < 140)
	}
}

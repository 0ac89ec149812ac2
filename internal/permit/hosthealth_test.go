package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// Uploads congest the host's own link, and all replies are late. Guards against a host that
// takes its own congested link for the loss of all other hosts.
func TestCongestedOwnLinkDoesNotPauseHosts(t *testing.T) {
	is, health := is.New(t), NewHostHealth()
	for _, host := range []string{"a", "b", "c", "d", "e"} {
		for range maxTimeouts - 1 {
			health.RecordTimeout(now, now.Add(-time.Second), host)
		}
		is.True(health.MayRequest(now, host))
	}
}

// Guards against a host that is paused after one late reply: the other entry hosts go on asking
// it, and its servers have two queues.
func TestSingleTimeoutDoesNotPauseHost(t *testing.T) {
	is, health := is.New(t), NewHostHealth()
	for i := range 5 {
		at := now.Add(time.Duration(i) * time.Second)
		health.RecordReply(at, "b")
		health.RecordTimeout(at, at.Add(-time.Millisecond), "a")
		is.True(health.MayRequest(at, "a"))
		health.RecordReply(at, "a")
	}
}

// One host is gone while the others reply. Guards against requests that keep timing out there,
// and against a host that is not asked again once it is back.
func TestLostHostIsPausedAndProbed(t *testing.T) {
	is, health := is.New(t), NewHostHealth()
	requests := 0
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		t := now.Add(at)
		health.RecordReply(t, "b")
		if health.MayRequest(t, "a") {
			requests++
			health.RecordTimeout(t, t.Add(-time.Millisecond), "a")
		}
	}
	is.True(requests <= 10) // of 3,000 requests
	back := now.Add(time.Minute)
	is.True(health.MayRequest(back, "a"))
	is.True(!health.MayRequest(back, "a")) // one request probes it
	health.RecordReply(back, "a")
	is.True(health.MayRequest(back, "a"))
	is.True(health.MayRequest(back, "a"))
}

// Hosts agree without communication which host manages a queue. Guards against queues that
// concentrate on one host, and against queues that move although their host stays.
func TestOrderSpreadsQueuesAndIsStable(t *testing.T) {
	is := is.New(t)
	hosts := []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720", "10.0.0.4:7720", "10.0.0.5:7720"}
	counts := map[string]int{}
	for i := range 500 {
		queue := fmt.Sprintf("desk/b%03d", i)
		order := RankIssuers(hosts, queue)
		counts[order[0]]++
		is.Equal(order, RankIssuers([]string{hosts[3], hosts[0], hosts[4], hosts[2], hosts[1]}, queue))
		without := RankIssuers(hosts[:4], queue)
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

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// longAnswerTime is how long an answer of photos takes to arrive, readTimeout how long callers and
	// the route wait for it.
	longAnswerTime = 7 * time.Second
	readTimeout    = 8 * time.Second
	// stopAfter is the time from the requests to the SIGTERM.
	stopAfter = 300 * time.Millisecond
)

// stopBehindLong stops an entry host while callers wait for a long answer, with short reads of
// another service behind it that have run before the stop.
func stopBehindLong(r *run) []string {
	r.startHosts(3, 1)
	r.configureReads()
	r.startPlainServer("photos", "i-p1", false)
	sound := r.startPlainServer("stock", "i-s1", false)
	r.awaitReads()
	r.answerSlowly.Store(true)
	time.Sleep(3 * time.Second) // calm before the planned stop
	var mu sync.Mutex
	var lost []string
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			c := r.dialEntry()
			defer c.Close()
			for _, id := range r.sendReads(c, fmt.Sprint("c", i)) {
				if ended, ok := sound.endOf(id); ok {
					r.note("LOST: %s was answered by %s %v before, and its connection ended without that answer", id, sound.name, time.Since(ended).Round(time.Millisecond))
					mu.Lock()
					lost = append(lost, id)
					mu.Unlock()
				}
			}
		})
	}
	if r.trouble {
		time.Sleep(stopAfter)
		r.note("the platform sends SIGTERM to %s", r.entries[0].name)
		err := r.entries[0].process.Process.Signal(syscall.SIGTERM)
		require(err == nil, "signalling: %v", err)
	}
	callers.Wait()
	if len(lost) > 0 {
		return []string{fmt.Sprintf("LOST: %d requests that %s had read and passed on before its SIGTERM ended without an answer, though the sound server %s had answered them", len(lost), r.entries[0].name, sound.name)}
	}
	return nil
}

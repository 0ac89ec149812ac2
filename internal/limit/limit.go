// Package limit decides how many requests one backend server gets at once: its
// concurrency limit, its cold start and its bounded, deadline-aware queue. It
// knows no transport and no clock; the caller passes the time and holds a lock.
package limit

import "time"

// Config is the shape of one backend server and its queue.
type Config struct {
	Slots     int
	ColdLimit int
	Ramp      time.Duration // time from the cold limit to all slots
	QueueLen  int           // most requests that wait
}

// Decision is what to do with an offered request.
type Decision uint8

// The decisions.
const (
	Run    Decision = iota + 1 // send it now
	Wait                       // queued; Finish returns its id when it may run
	Refuse                     // it cannot meet its deadline or the queue is full: not run
)

// Outcome is what a finished request tells of its backend server.
type Outcome struct {
	Latency time.Duration
	// Shed means that the backend server refused the request for load.
	Shed bool
	// Failed means a connection error, a timeout or a server error.
	Failed bool
}

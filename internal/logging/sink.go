package logging

import (
	"encoding/json"
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that may wait for the output.
const queueLines = 1024

// reportInterval is the time between two reports of dropped lines.
const reportInterval = time.Second

// dropped counts the lines that were dropped.
var dropped = expvar.NewInt("agatestep_log_lines_dropped")

// Sink writes lines to an output from a goroutine of its own. It implements
// zapcore.WriteSyncer.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	now     func() time.Time

	mu              sync.Mutex // guards currentSecond and linesThisSecond
	rateLimit       int        // lines per second
	currentSecond   int64
	linesThisSecond int

	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes at most linesPerSecond lines in each second to out.
// It runs until Close.
func NewSink(out io.Writer, linesPerSecond int, now func() time.Time) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLines), rateLimit: linesPerSecond, now: now,
		closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if s.allowLine() {
		select {
		case s.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.dropped.Add(1)
	dropped.Add(1)
	return len(line), nil
}

// allowLine counts a line and reports whether it is within the limit of the current
// second.
func (s *Sink) allowLine() bool {
	second := s.now().Unix()
	s.mu.Lock()
	defer s.mu.Unlock()
	if second != s.currentSecond {
		s.currentSecond, s.linesThisSecond = second, 0
	}
	s.linesThisSecond++
	return s.linesThisSecond <= s.rateLimit
}

// Sync implements zapcore.WriteSyncer. It does nothing: lines are written as soon as the
// output takes them.
func (s *Sink) Sync() error { return nil }

// Close writes the queued lines and stops the sink. It returns after the timeout even if
// the output blocks.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		case <-ticker.C:
			s.reportDropped()
		case <-s.closing:
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		default:
			s.reportDropped()
			return
		}
	}
}

// writeLine writes a line. If that fails, only the counter of dropped lines can tell.
func (s *Sink) writeLine(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		dropped.Add(1)
	}
}

// reportDropped logs the number of lines that were dropped since the last report.
func (s *Sink) reportDropped() {
	n := s.dropped.Swap(0)
	if n == 0 {
		return
	}
	line, err := json.Marshal(map[string]any{"level": "warn", "ts": float64(s.now().UnixNano()) / 1e9, "msg": "log lines dropped", "lines": n})
	if err != nil {
		return // strings and numbers always encode
	}
	s.writeLine(append(line, '\n'))
}

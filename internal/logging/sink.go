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

// reportInterval is the time between two lines about dropped ones.
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

	mu     sync.Mutex // guards the bound
	most   int        // lines in a second
	second int64
	lines  int

	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that passes on at most linesPerSecond lines.
func NewSink(out io.Writer, linesPerSecond int, now func() time.Time) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLines), most: linesPerSecond, now: now,
		closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if s.allowed() {
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

// allowed counts a line against the bound of this second.
func (s *Sink) allowed() bool {
	second := s.now().Unix()
	s.mu.Lock()
	defer s.mu.Unlock()
	if second != s.second {
		s.second, s.lines = second, 0
	}
	s.lines++
	return s.lines <= s.most
}

// Sync implements zapcore.WriteSyncer. Lines are written as soon as the output
// takes them.
func (s *Sink) Sync() error { return nil }

// Close writes the queued lines, as long as the output takes them within a time.
func (s *Sink) Close(within time.Duration) {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(within)
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
			s.put(line)
		case <-ticker.C:
			s.report()
		case <-s.closing:
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.put(line)
		default:
			s.report()
			return
		}
	}
}

// put writes a line. There is nowhere to report that the log cannot be written but
// the counter.
func (s *Sink) put(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		dropped.Add(1)
	}
}

// report logs the number of lines that were dropped since the last report.
func (s *Sink) report() {
	n := s.dropped.Swap(0)
	if n == 0 {
		return
	}
	line, err := json.Marshal(map[string]any{"level": "warn", "ts": float64(s.now().UnixNano()) / 1e9, "msg": "log lines dropped", "lines": n})
	if err != nil {
		return // strings and numbers always encode
	}
	s.put(append(line, '\n'))
}

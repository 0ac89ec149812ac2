package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/settings"
)

// blockedWriter is an output that blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func fixedTime() time.Time { return time.Unix(1000, 0) }

// Guards against a process that blocks because nobody reads its log.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := NewSink(out, 10*queueLines, fixedTime)
	for range 3 * queueLines { // returns although the output is blocked
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	s.Close(time.Millisecond) // times out
	close(out.release)
	<-s.done
	text := out.String()
	is.True(strings.Count(text, "line\n") <= queueLines+1)
	is.True(strings.Contains(text, `"msg":"log lines dropped"`))
}

// Guards against more lines than the rate limit allows.
func TestLineRateIsLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := NewSink(&out, 100, fixedTime)
	for range 500 {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	s.Close(time.Minute)
	is.Equal(strings.Count(out.String(), "line\n"), 100)
	is.True(strings.Contains(out.String(), `"lines":400`))
}

// Guards against stack traces in the log and against settings without effect.
func TestLoggerUsesSettings(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, sink, err := New(settings.Log{Level: "warn", Format: "json", LinesPerSecond: 10}, &out)
	is.NoErr(err)
	logger.Info("not logged")
	logger.Warn("logged", Error(errors.Annotate(errors.New("cause"), "context")), Error(nil), zap.Int("n", 1))
	sink.Close(time.Minute)
	is.True(strings.Contains(out.String(), `"msg":"logged","error":"context: cause","n":1}`))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	_, _, err = New(settings.Log{Level: "loud"}, &out)
	is.True(err != nil)
}

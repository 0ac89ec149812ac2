package daemoncli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals holds the signals that the process has received.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	hangup chan os.Signal // SIGHUP
}

// receiveSignals receives signals until the process exits. The default action of each of
// them ends the process, and the requests in flight with it, so it is called first and is
// never undone.
func receiveSignals() signals {
	s := signals{stop: make(chan os.Signal, 2), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// stopContexts returns a context that ends with the first signal to stop and one that ends
// with the second.
func (s signals) stopContexts() (gracefulStop, forceStop context.Context) {
	gracefulStop, stopGracefully := context.WithCancel(context.Background())
	forceStop, stopAtOnce := context.WithCancel(context.Background())
	go func() {
		<-s.stop
		stopGracefully()
		<-s.stop
		stopAtOnce()
	}()
	return gracefulStop, forceStop
}

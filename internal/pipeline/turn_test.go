package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// writeAnswer writes the first part of an answer of the given length.
func writeAnswer(w http.ResponseWriter, length, part int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	for written := 0; written < part; written += 1 << 10 {
		_, _ = w.Write(bytes.Repeat([]byte("a"), 1<<10))
	}
}

// Guards against answers of requests that were begun behind another and are thrown away because
// that one's answer breaks off.
func TestAnswerThatBreaksOffLeavesThoseBehindIt(t *testing.T) {
	for name, broken := range map[string]string{"first of the connection": "/1", "begun ahead": "/2"} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{}, 2)
			host := startHost(t, 8, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/1":
					<-begun
					<-begun
				default:
					begun <- struct{}{}
				}
				if r.URL.Path != broken {
					_, _ = io.WriteString(w, r.URL.Path)
					return
				}
				writeAnswer(w, 200<<10, 80<<10)
				if !w.(interface{ Retract() bool }).Retract() {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusBadGateway)
			})
			c := host.connect(t)
			c.send(get("/1"), get("/2"), get("/3"))
			for _, path := range []string{"/1", "/2", "/3"} {
				body, ends := c.receive()
				host.is.True(!ends)
				if path == broken {
					path = ""
				}
				host.is.Equal(body, path)
			}
			host.is.Equal(host.front.held.Load(), int64(0))
		})
	}
}

// Guards against requests that are begun behind an answer of which the caller has a part: if it
// breaks off, they cannot be answered.
func TestNothingIsBegunBehindPartOfAnswer(t *testing.T) {
	begun, goOn := make(chan string, 2), make(chan struct{})
	host := startHost(t, 8, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		if r.URL.Path != "/1" {
			return
		}
		writeAnswer(w, 200<<10, 100<<10)
		_ = http.NewResponseController(w).Flush()
		<-goOn
		_, _ = w.Write(make([]byte, 100<<10))
	})
	c := host.connect(t)
	c.send(get("/1"))
	host.is.Equal(<-begun, "/1")
	head, err := c.reader.Peek(16)
	host.is.NoErr(err)
	host.is.Equal(string(head[:12]), "HTTP/1.1 200")
	c.send(get("/2"))
	select {
	case path := <-begun:
		t.Errorf("%s was begun", path)
	case <-time.After(50 * time.Millisecond):
	}
	close(goOn)
	body, _ := c.receive()
	host.is.Equal(len(body), 200<<10)
	c.receive()
}

// Guards against answers that take more memory than the bound while requests are begun behind them,
// and against a retraction of an answer of which the caller has a part.
func TestAnswerHeldInItsTurnIsBounded(t *testing.T) {
	begun, retracted := make(chan struct{}), make(chan bool, 1)
	host := startHost(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/1" {
			close(begun)
			return
		}
		<-begun
		writeAnswer(w, 2*maxTurnAnswer, maxTurnAnswer+1<<10)
		retracted <- w.(interface{ Retract() bool }).Retract()
		_, _ = w.Write(make([]byte, maxTurnAnswer-1<<10))
	})
	c := host.connect(t)
	c.send(get("/1"), get("/2"))
	host.is.True(!<-retracted)
	body, _ := c.receive()
	host.is.Equal(len(body), 2*maxTurnAnswer)
	c.receive()
	host.is.Equal(host.front.held.Load(), int64(0))
}

package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/admin"
)

// loadClient keeps enough idle connections that none is opened during a measurement.
var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func fetch(url string, n int) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("X-Key", keyName(n%loadKeys))
	r.Header.Set("Agatestep-Request-Id", fmt.Sprintf("m%d-%d", time.Now().UnixNano(), n))
	response, err := loadClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %s", response.StatusCode, response.Header.Get("Agatestep-Reason"))
	}
	return nil
}

// runOpenLoop sends requests at a fixed rate, whether or not earlier ones have ended. It
// measures latency, in microseconds, from when each was due, and counts failed requests.
func runOpenLoop(url string, rate int, span time.Duration) (*hdrhistogram.Histogram, int64) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var failed atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for n := range int(span.Seconds() * float64(rate)) {
		due := begin.Add(time.Duration(n) * time.Second / time.Duration(rate))
		<-time.After(time.Until(due))
		wg.Go(func() {
			if err := fetch(url, n); err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = latencies.RecordValue(time.Since(due).Microseconds())
		})
	}
	wg.Wait()
	return latencies, failed.Load()
}

// warmUpTime is how long a backend server is under load before its latency is measured.
const warmUpTime = 3 * time.Second

// cmdLatency compares requests that go directly to a backend server with the same ones
// through a host that relays them: latency HOST BACKEND RATE SPAN
func cmdLatency(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	rate, err := strconv.Atoi(args[2])
	ts.Check(err)
	span, err := time.ParseDuration(args[3])
	ts.Check(err)
	urls := map[string]string{"direct": "http://" + c.backendAddress(ts, args[1]) + "/desk/x", "routed": "http://" + c.address(args[0], 7100) + "/desk/x"}
	runOpenLoop(urls["routed"], rate, warmUpTime) // the first seconds are a cold start
	for range 3 {
		for _, path := range []string{"direct", "routed"} {
			latencies, failed := runOpenLoop(urls[path], rate, span)
			fmt.Printf("%s at %d/s: p50 %d us, p99 %d us, %d requests, %d failed\n", path, rate,
				latencies.ValueAtPercentile(50), latencies.ValueAtPercentile(99), latencies.TotalCount(), failed)
		}
	}
}

func (c *cluster) backendAddress(ts *testscript.TestScript, name string) string {
	var s admin.Status
	ts.Check(c.adminGet("h1", "/v1/status", &s))
	for _, b := range s.Backends {
		if b.Backend == name {
			return b.Address
		}
	}
	ts.Fatalf("backend server %s is not known", name)
	return ""
}

// cmdThroughput measures the throughput with a fixed number of requests in flight:
// throughput HOST CALLERS SPAN
func cmdThroughput(ts *testscript.TestScript, _ bool, args []string) {
	callers, err := strconv.Atoi(args[1])
	ts.Check(err)
	span, err := time.ParseDuration(args[2])
	ts.Check(err)
	url := "http://" + clusterOf(ts).address(args[0], 7100) + "/fast/x"
	var done, failed atomic.Int64
	var reason atomic.Value
	reason.Store("")
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if err := fetch(url, n); err != nil {
					failed.Add(1)
					reason.Store(err.Error())
				} else {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	fmt.Printf("throughput through %s: %.0f/s with %d callers, %d failed %s\n", args[0], float64(done.Load())/span.Seconds(), callers, failed.Load(), reason.Load())
}

type memoryVars struct {
	Memstats struct{ HeapAlloc, HeapInuse, Sys uint64 }
}

func (c *cluster) readMemory(ts *testscript.TestScript, host string) memoryVars {
	response, err := http.Get("http://" + c.address(host, 7104) + "/debug/vars")
	ts.Check(err)
	defer response.Body.Close()
	var m memoryVars
	ts.Check(json.NewDecoder(response.Body).Decode(&m))
	return m
}

// cmdHeap prints the heap size of a daemon: heap HOST LABEL
func cmdHeap(ts *testscript.TestScript, _ bool, args []string) {
	m := clusterOf(ts).readMemory(ts, args[0])
	fmt.Printf("heap of %s, %s: %.1f MB allocated, %.1f MB in use, %.1f MB from the system\n", args[0], args[1],
		float64(m.Memstats.HeapAlloc)/1e6, float64(m.Memstats.HeapInuse)/1e6, float64(m.Memstats.Sys)/1e6)
}

// cmdUpload uploads a body of BYTES and prints the largest growth of the heap of the host
// meanwhile: upload HOST BYTES
func cmdUpload(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	size, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	before := c.readMemory(ts, args[0]).Memstats.HeapInuse
	done := make(chan error, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+c.address(args[0], 7100)+"/desk/x", io.LimitReader(zeroReader{}, size))
		r.Header.Set("X-Key", keyName(1))
		r.Header.Set("Agatestep-Timeout-Ms", "30000")
		r.ContentLength = size
		response, err := http.DefaultClient.Do(r)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		done <- err
	}()
	var maxHeap uint64
	for {
		maxHeap = max(maxHeap, c.readMemory(ts, args[0]).Memstats.HeapInuse)
		select {
		case err := <-done:
			ts.Check(err)
			fmt.Printf("upload of %d bytes through %s: heap in use grew by at most %.1f MB\n", size, args[0], float64(max(maxHeap, before)-before)/1e6)
			return
		default:
		}
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

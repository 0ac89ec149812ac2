package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkAddedLatency compares requests sent directly to a backend server with
// the same ones through an entry host and one relay. Both alternate, so that
// they meet the same conditions.
func BenchmarkAddedLatency(b *testing.B) {
	w := newFixture(b, nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	urls := []string{w.backends["b1"].URL + "/desk/x", w.hosts["h2"].server.URL + "/desk/x"}
	var took [2]*hdrhistogram.Histogram
	for i := range took {
		took[i] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	}
	once := func(i int) {
		r, _ := http.NewRequest(http.MethodGet, urls[i], nil)
		r.Header.Set("X-Key", "k")
		began := time.Now()
		resp, err := client.Do(r)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(err, resp)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = took[i].RecordValue(time.Since(began).Nanoseconds())
	}
	for b.Loop() {
		once(0)
		once(1)
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		direct, routed := took[0].ValueAtPercentile(q.at), took[1].ValueAtPercentile(q.at)
		b.ReportMetric(float64(direct)/1e3, "direct-"+q.name+"-us")
		b.ReportMetric(float64(routed)/1e3, "routed-"+q.name+"-us")
		b.ReportMetric(float64(routed-direct)/1e3, "added-"+q.name+"-us")
	}
}

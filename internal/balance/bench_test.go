package balance

import (
	"fmt"
	"testing"
)

// measure runs s with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, s setup) {
	values := map[string][]float64{}
	for b.Loop() {
		clear(values)
		for s.seed = 1; s.seed <= 3; s.seed++ {
			c := simulate(s)
			values["p50-ms"] = append(values["p50-ms"], c.percentile(0.5))
			values["p99-ms"] = append(values["p99-ms"], c.percentile(0.99))
			values["p999-ms"] = append(values["p999-ms"], c.percentile(0.999))
			values["refused-%"] = append(values["refused-%"], 100*float64(c.refused)/float64(c.requests))
			values["local-%"] = append(values["local-%"], 100*float64(c.nearby)/float64(c.requests+c.hedged))
			values["extra-%"] = append(values["extra-%"], 100*float64(c.hedged)/float64(c.requests))
		}
	}
	b.ReportMetric(0, "ns/op")
	for name, v := range values {
		b.ReportMetric((v[0]+v[1]+v[2])/3, name)
		b.ReportMetric((max(v[0], v[1], v[2])-min(v[0], v[1], v[2]))/2, name+"±")
	}
}

// Stragglers: a tenth of the servers, 10 times slower for 2 s at a time.
func BenchmarkStragglers(b *testing.B) {
	shapes := []struct {
		name           string
		servers, slots int
	}{{"catalogue", 8, 2}, {"vault", 6, 4}}
	for _, shape := range shapes {
		for _, load := range []float64{0.3, 0.6} {
			base := setup{servers: shape.servers, slots: shape.slots, load: load}
			for _, mode := range []string{"round-robin", "picker", "hedged"} {
				for _, slow := range []bool{false, true} {
					s := base
					s.stragglers, s.roundRobin, s.hedges = slow, mode == "round-robin", mode == "hedged"
					b.Run(fmt.Sprintf("%s/load=%v/%s/slow=%v", shape.name, load, mode, slow), func(b *testing.B) { measure(b, s) })
				}
			}
		}
	}
}

// Keyed: each request has one owner. The bound runs every request at once at the
// owner's speed, which no admission or order of service can beat.
func BenchmarkKeyedStragglers(b *testing.B) {
	for _, prefer := range []string{"availability", "tail_latency"} {
		for _, mode := range []string{"healthy", "ours", "bound"} {
			s := setup{servers: 30, slots: 2, load: 0.6, keyed: true, stragglers: mode != "healthy", unqueued: mode == "bound"}
			if prefer == "tail_latency" {
				s.maxWait = 5 * meanWork
			}
			b.Run(prefer+"/"+mode, func(b *testing.B) { measure(b, s) })
		}
	}
}

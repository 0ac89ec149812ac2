package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/balance"
)

var lathe = Config{Slots: 4, ColdLimit: 1, Ramp: 5 * time.Second, QueueLen: 64}
var stock = Config{Slots: 2, ColdLimit: 1, Ramp: 5 * time.Second, QueueLen: 64}

// measure runs do with three seeds and reports the mean and half the range of each metric.
func measure(b *testing.B, do func(seed uint64) map[string]float64) {
	var runs [3]map[string]float64
	for b.Loop() {
		for i := range runs {
			runs[i] = do(uint64(i + 1))
		}
	}
	b.ReportMetric(0, "ns/op")
	for name := range runs[0] {
		x, y, z := runs[0][name], runs[1][name], runs[2][name]
		b.ReportMetric((x+y+z)/3, name)
		b.ReportMetric((max(x, y, z)-min(x, y, z))/2, name+"±")
	}
}

// gates returns one admission, or one per entry host.
func gates(cfg Config, n int, now time.Time) (out []gate) {
	for range n {
		out = append(out, New(cfg, now))
	}
	return out
}

// Cold start at full load from 11 entry hosts, with one dispatcher and with a
// limit per host. The baseline of the lying report is a dispatcher that believes
// a report of free slots. Typical is known but in the case "unknown".
func BenchmarkColdStart(b *testing.B) {
	for _, shape := range []struct {
		name string
		Config
	}{{"lathe", lathe}, {"stock", stock}} {
		for _, n := range []int{1, hosts} {
			for _, how := range []string{"new", "unknown", "without-warning", "failover", "lying-report"} {
				cfg := shape.Config
				if how != "unknown" {
					cfg.Typical = meanWork
				}
				b.Run(fmt.Sprintf("%s/limits=%d/%s", shape.name, n, how), func(b *testing.B) {
					measure(b, func(seed uint64) map[string]float64 { return coldStart(seed, cfg, n, how) })
				})
			}
		}
	}
}

func coldStart(seed uint64, cfg Config, n int, how string) map[string]float64 {
	start := time.Unix(0, 0)
	s := newBackend(seed, cfg, gates(cfg, n, start)...)
	s.turnCold()
	switch {
	case how == "without-warning":
		s.offerLoad(1, 20*time.Second)
		s.turnCold()
		s.offerLoad(1, time.Second)
	case how == "failover":
		s.offerLoad(1, 200*time.Millisecond)
		s.run(s.now.Add(time.Second)) // expiry of the old dispatcher's session
		s.gates, s.turned = gates(cfg, n, s.now), s.now
	case how == "lying-report" && n > 1:
		believing := cfg
		believing.ColdLimit = cfg.Slots
		s.gates = gates(believing, 1, start)
	}
	for s.now.Before(s.turned.Add(20*time.Second)) && (s.warmth > 0 || s.gates[0].(*Admission).Cold(s.now)) {
		s.offerLoad(1, 50*time.Millisecond)
	}
	return map[string]float64{"peak-cold": float64(s.peakCold), "at-turn": float64(s.already), "sent-over": float64(s.sentOver),
		"full-s": s.now.Sub(s.turned).Seconds()}
}

// Overload at twice the capacity with deadlines of 20 to 400 ms.
func BenchmarkOverload(b *testing.B) {
	for _, mode := range []string{"fifo-long", "fifo", "ours"} {
		for _, retry := range []string{"none", "always", "budget"} {
			b.Run(mode+"/retry="+retry, func(b *testing.B) {
				measure(b, func(seed uint64) map[string]float64 {
					g := map[string]gate{"fifo-long": &fifo{limit: 4, length: 1000}, "fifo": &fifo{limit: 4, length: 64}, "ours": New(lathe, time.Unix(0, 0))}[mode]
					s := newBackend(seed, lathe, g)
					s.offerLoad(0.9, 10*time.Second)
					budget := balance.NewBudget(0.1, 10)
					s.retries = func() bool { return retry == "always" || retry == "budget" && budget.TrySpend() }
					s.goodput, s.offered, s.attempts, s.refused, s.expired = 0, 0, 0, 0, 0
					deadlines := s.deadlines
					s.deadlines = func() time.Duration { budget.OnRequest(); return deadlines() }
					s.offerLoad(2, 30*time.Second)
					return map[string]float64{"goodput-%": 100 * float64(s.goodput) * meanWork.Seconds() / (30 * 4),
						"retries-%": 100 * float64(s.attempts-s.offered) / float64(s.offered),
						"late-%":    100 * float64(s.expired) / float64(s.refused+s.expired+1)}
				})
			})
		}
	}
}

// False alarms: a warm server with server errors and variable work at full load
// must not lose capacity to suspicions.
func BenchmarkFalseAlarm(b *testing.B) {
	for _, failures := range []float64{0, 0.01, 0.05} {
		for _, steady := range []float64{0.5, 0} {
			for _, mode := range []string{"fixed", "ours"} {
				b.Run(fmt.Sprintf("failures=%v/steady=%v/%s", failures, steady, mode), func(b *testing.B) {
					measure(b, func(seed uint64) map[string]float64 {
						a := New(lathe, time.Unix(0, 0))
						s := newBackend(seed, lathe, map[string]gate{"fixed": &fifo{limit: 4, length: 10}, "ours": a}[mode])
						s.steady = steady
						s.offerLoad(1, 10*time.Second)
						s.failures, s.goodput = failures, 0
						cold := 0.0
						for range 600 {
							s.offerLoad(1.2, 50*time.Millisecond)
							if a.Cold(s.now) {
								cold += 100.0 / 600
							}
						}
						return map[string]float64{"goodput-%": 100 * float64(s.goodput) * meanWork.Seconds() / (30 * 4), "cold-%": cold}
					})
				})
			}
		}
	}
}

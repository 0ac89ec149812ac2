package scheduling

import (
	"math"
	"time"
)

const (
	// workWeight is the weight of a new sample in the mean work of a class, once there are
	// several.
	workWeight = 0.1
	// priorSamples is how many samples the expectation of an entry host counts as.
	priorSamples = 2
	// usualWeight is the weight of a report in the lasting slowdown of a server.
	usualWeight = 0.05
	// slowdownHalfLife is the age at which half of a momentary slowdown is assumed to be over.
	slowdownHalfLife = 400 * time.Millisecond
	// maxSlowdown bounds what one report or one overdue request may claim.
	maxSlowdown = 20
	// maxClasses bounds the classes of one server; further ones share a mean.
	maxClasses = 32
)

// Estimate predicts the work of requests on one server. The zero value knows nothing of the server.
type Estimate struct {
	classes map[string]*classWork
	// usual is the lasting slowdown of the server, momentary the one reported at reportedAt.
	// Both are zero before the first report.
	usual, momentary float64
	reportedAt       time.Time
}

type classWork struct {
	mean    time.Duration // without a slowdown
	samples int
}

// Slowdown returns the expected service time of the server relative to the typical one.
func (e *Estimate) Slowdown(now time.Time) float64 {
	if e.momentary == 0 {
		return 1
	}
	decay := 1.0
	if age := now.Sub(e.reportedAt); age > 0 {
		decay = math.Exp2(-age.Seconds() / slowdownHalfLife.Seconds())
	}
	return e.usual + (e.momentary-e.usual)*decay
}

// RecordSlowdown records a slowdown that the server reported at now; zero is no report.
func (e *Estimate) RecordSlowdown(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	slowdown = min(slowdown, maxSlowdown)
	if e.momentary == 0 {
		e.usual = 1
	}
	e.usual += usualWeight * (slowdown - e.usual)
	e.momentary, e.reportedAt = slowdown, now
}

// Work returns the expected work of a request of a class. typical is what such requests take on the
// servers of the service on average.
func (e *Estimate) Work(now time.Time, class string, typical time.Duration) time.Duration {
	if c := e.classes[e.classKey(class)]; c != nil {
		typical = c.mean
	}
	return time.Duration(e.Slowdown(now) * float64(typical))
}

// ShortestWork returns the expected work of the class that takes the server least time, or fallback
// before the first response.
func (e *Estimate) ShortestWork(now time.Time, fallback time.Duration) time.Duration {
	if len(e.classes) == 0 {
		return fallback
	}
	shortest := time.Duration(math.MaxInt64)
	for _, c := range e.classes {
		shortest = min(shortest, c.mean)
	}
	return time.Duration(e.Slowdown(now) * float64(shortest))
}

// RecordWork records the work of a request of a class.
func (e *Estimate) RecordWork(now time.Time, class string, typical, took time.Duration) {
	key := e.classKey(class)
	c := e.classes[key]
	if c == nil {
		if e.classes == nil {
			e.classes = map[string]*classWork{}
		}
		c = &classWork{mean: typical}
		if typical <= 0 {
			c.mean = took
		}
		e.classes[key] = c
	}
	c.samples++
	weight := max(workWeight, 1/float64(c.samples+priorSamples))
	normal := time.Duration(float64(took) / max(e.Slowdown(now), 1/float64(maxSlowdown)))
	c.mean += time.Duration(weight * float64(normal-c.mean))
}

func (e *Estimate) classKey(class string) string {
	if _, ok := e.classes[class]; ok || len(e.classes) < maxClasses {
		return class
	}
	return ""
}

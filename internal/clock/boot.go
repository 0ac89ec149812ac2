package clock

// Boot is the time since the start of the machine. Unlike Real, it goes on while the machine
// is suspended. Its readings can be compared only with each other.
type Boot struct{}

var _ Clock = Boot{}

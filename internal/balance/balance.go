// Package balance chooses among the backend servers of a service that is not
// divided by key, and bounds retries and hedges by a budget. It knows no
// transport and no clock.
package balance

// Candidate is a backend server that may serve a request.
type Candidate struct {
	Name  string
	Local bool // in the chooser's data centre
	Slots int
}

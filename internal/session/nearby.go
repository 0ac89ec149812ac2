package session

import (
	"slices"
	"sync"
)

// controlDataCentres holds the data centres of the control hosts, as they name them. It is safe
// for concurrent use.
type controlDataCentres struct {
	mu        sync.Mutex
	byAddress map[string]string
}

func (d *controlDataCentres) set(address, dataCentre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byAddress == nil {
		d.byAddress = map[string]string{}
	}
	d.byAddress[address] = dataCentre
}

func (d *controlDataCentres) knows(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.byAddress[address]
	return ok
}

// minNearby is the number of control hosts in a data centre from which its entry hosts prefer
// them: a single one would serve all of these hosts, and its loss would reach all at once.
const minNearby = 2

// nearestFirst moves the control hosts of a data centre to the front of order, if it has at least
// minNearby. A table then crosses to another data centre only where none of them answers.
func (d *controlDataCentres) nearestFirst(order []string, dataCentre string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	near := 0
	for _, address := range order {
		near += 1 - d.distance(address, dataCentre)
	}
	if near < minNearby {
		return order
	}
	out := slices.Clone(order)
	slices.SortStableFunc(out, func(a, b string) int {
		return d.distance(a, dataCentre) - d.distance(b, dataCentre)
	})
	return out
}

// distance is 0 for a control host in the data centre and 1 for others. The caller holds d.mu.
func (d *controlDataCentres) distance(address, dataCentre string) int {
	if d.byAddress[address] == dataCentre {
		return 0
	}
	return 1
}

package table

import "github.com/agatestep/agatestep/internal/service"

// SliceState says what may be done with the requests of a slice.
type SliceState uint8

// The states of a slice.
const (
	// SliceOwned means that the owner serves the slice.
	SliceOwned SliceState = iota + 1
	// SliceReleasing means that the owner is giving the slice up to Next; no new
	// request may be sent to the owner.
	SliceReleasing
	// SliceUnowned means that no backend server is available for the slice.
	SliceUnowned
)

// Slice is one range of key hashes and its ownership.
type Slice struct {
	Start   uint64
	Last    uint64 // last hash of the slice, included
	Owner   string // backend server, empty when unowned
	Next    string // next owner while releasing
	Standby string
	Epoch   uint64
	State   SliceState
}

// Backend is a backend server as the table knows it.
type Backend struct {
	Name         string
	Service      string
	Incarnation  string
	DataCentre   string
	Address      string
	Slots        int
	Connections  int
	ChecksOrders bool
	// ByHeartbeat is set for a backend server that gets its keys in the answers to
	// its heartbeats; it has no orders. Born is the wall-clock start of its process
	// in Unix milliseconds.
	ByHeartbeat bool
	Born        int64
	// Cold is set while the backend server says that it is warming up.
	Cold bool
	// Leaving is set once the backend server has announced its end.
	Leaving bool
	// Lost is set from the end of the lease until the next incarnation or
	// announcement; Draining is set while an operator has taken the backend
	// server or its data centre out.
	Lost     bool
	Draining bool
	// Dispatcher and StandbyDispatcher are entry hosts.
	Dispatcher        string
	StandbyDispatcher string
	// LeaseOver is set when every lease of the dispatchers before had ended by the
	// takeover of this one.
	LeaseOver bool
	// NextDispatcher is the host that the dispatcher is to hand its role to.
	NextDispatcher string
	// WarmLimit is the limit that the dispatcher before had reached when it handed
	// the role over; zero after a loss.
	WarmLimit int
	// Epoch is the revision of the last change to the incarnation, address, lost
	// flag or dispatcher of this record, or to the set of slices that the backend
	// server owns and is not releasing: the epoch of its next order.
	Epoch uint64
}

// Host is an entry host as the table knows it.
type Host struct {
	Name            string
	DataCentre      string
	PeerAddress     string
	RelayAddress    string
	BackendsAddress string
	AdminAddress    string
	Draining        bool   // its data centre is taken out
	Joined          uint64 // revision of the command that recorded the host
}

// Service is a published service with what routing needs.
type Service struct {
	File *service.File
	// Revision is the revision of the publish that put this file in force.
	Revision uint64
}

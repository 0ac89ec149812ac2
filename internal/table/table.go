package table

import "github.com/agatestep/agatestep/internal/service"

// SliceState tells whether requests of a slice may be sent to its owner.
type SliceState uint8

// The states of a slice.
const (
	// SliceOwned means that the owner serves the slice.
	SliceOwned SliceState = iota + 1
	// SliceReleasing means that the owner is handing the slice over to Next; no new
	// request may be sent to the owner.
	SliceReleasing
	// SliceUnowned means that no backend server is available for the slice.
	SliceUnowned
)

// Slice is a range of key hashes, its owner and its standby.
type Slice struct {
	Start   uint64
	Last    uint64 // last hash of the slice, inclusive
	Owner   string // backend server, empty when unowned
	Next    string // next owner while releasing
	Standby string
	Epoch   uint64
	State   SliceState
}

// Backend is the record of a backend server in the table.
type Backend struct {
	Name         string
	Service      string
	Incarnation  string
	DataCentre   string
	Address      string
	Slots        int
	Connections  int
	ChecksOrders bool
	// ByHeartbeat is set for a backend server that is assigned keys in the replies to
	// its heartbeats instead of by orders. Born is the wall-clock start of its process
	// in Unix milliseconds.
	ByHeartbeat bool
	Born        int64
	// Cold is set while the backend server reports that it is warming up.
	Cold bool
	// Leaving is set once the backend server has announced that it stops.
	Leaving bool
	// Lost is set from the end of the lease until the next incarnation or
	// announcement. Draining is set while an operator has taken the backend
	// server or its data centre out of service.
	Lost     bool
	Draining bool
	// Dispatcher and StandbyDispatcher are entry hosts.
	Dispatcher        string
	StandbyDispatcher string
	// LeaseOver is set when every lease from earlier dispatchers had ended when this
	// dispatcher took over.
	LeaseOver bool
	// NextDispatcher is the host that the dispatcher is to hand its role over to.
	NextDispatcher string
	// WarmLimit is the limit of concurrent requests that the previous dispatcher had
	// reached when it handed the role over; zero after a loss.
	WarmLimit int
	// Epoch is the revision of the last change to the incarnation, address, lost
	// flag or dispatcher of this record, or to the set of slices that the backend
	// server owns and is not releasing: the epoch of its next order.
	Epoch uint64
}

// Host is the record of an entry host in the table.
type Host struct {
	Name            string
	DataCentre      string
	PeerAddress     string
	RelayAddress    string
	BackendsAddress string
	AdminAddress    string
	Draining        bool   // its data centre is out of service
	Joined          uint64 // revision of the command that recorded the host
}

// Service is a published service file and its revision.
type Service struct {
	File *service.File
	// Revision is the revision of the command that published File.
	Revision uint64
}

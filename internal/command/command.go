package command

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/pack"
)

// Command is a union of all commands: exactly one field is set.
type Command struct {
	HostJoined       *HostJoined       `msgpack:",omitempty"`
	HostLost         *HostLost         `msgpack:",omitempty"`
	BackendAnnounced *BackendAnnounced `msgpack:",omitempty"`
	BackendLost      *BackendLost      `msgpack:",omitempty"`
	Released         *Released         `msgpack:",omitempty"`
	Move             *Move             `msgpack:",omitempty"`
	Split            *Split            `msgpack:",omitempty"`
	Publish          *Publish          `msgpack:",omitempty"`
	Drain            *Drain            `msgpack:",omitempty"`
	LeaderElected    *LeaderElected    `msgpack:",omitempty"`
	Repair           *Repair           `msgpack:",omitempty"`
	HandOver         *HandOver         `msgpack:",omitempty"`
	HandedOver       *HandedOver       `msgpack:",omitempty"`
	PatchItems       *PatchItems       `msgpack:",omitempty"`
	BackendReported  *BackendReported  `msgpack:",omitempty"`
	Granted          *Granted          `msgpack:",omitempty"`
}

// PatchItems sets and removes configuration items atomically. It needs no request
// id, because an item whose version is not higher changes nothing.
type PatchItems struct {
	Items []items.Item
}

// BackendReported records the state that a backend server sends in its heartbeats,
// when the server is new or the state has changed.
type BackendReported struct {
	Service    string
	Backend    string
	Born       int64 // wall-clock start of the process, Unix milliseconds
	DataCentre string
	Address    string // IP:port of its HTTP listener
	Slots      int
	Cold       bool
	// Leaving is set when the backend server announces that it stops. The same process
	// never clears it.
	Leaving bool
}

// Granted completes the moves of slices, which their old owners have released, to one
// backend server. It is proposed when the new owner can be told at once.
type Granted struct {
	Service string
	Backend string
	// Starts holds the starts of the slices, and Epochs their epochs at the time of
	// the release. A slice with another epoch does not change.
	Starts []uint64
	Epochs []uint64
}

// HandOver asks the dispatcher of a backend server to hand its role over to another
// host.
type HandOver struct {
	Service string
	Backend string
	From    string
	To      string
}

// HandedOver records that a dispatcher gave up its role and has stopped sending to the
// backend server. The role goes to the host that HandOver named, or to the standby
// dispatcher.
type HandedOver struct {
	Service string
	Backend string
	From    string
	// Limit is the limit of concurrent requests that the dispatcher had reached.
	Limit int
}

// Repair assigns the missing owners and standbys of the slices of a service.
type Repair struct {
	Service string
}

// LeaderElected is the first command of a new leader. It ensures that the leader's
// state reflects all commands of earlier terms, and that a HostLost command of an
// earlier leader has no effect any more.
type LeaderElected struct {
	Term uint64
	Host string
}

// HostJoined records an entry host that opened a session.
type HostJoined struct {
	Host       string
	DataCentre string
	// Instance identifies the process; the leader copies it from the session renewal.
	Instance string
	// PeerAddress serves jsonrpc2, RelayAddress relayed HTTP requests,
	// BackendsAddress announcements of backend servers, and AdminAddress the admin
	// interface. All are IP:port; the last two may be empty.
	PeerAddress     string
	RelayAddress    string
	BackendsAddress string
	AdminAddress    string
}

// HostLost records that the session of an entry host is over, because it expired or
// the host stopped. Its dispatcher roles go to the standby dispatchers.
type HostLost struct {
	Host string
	// Planned is set when the host closed its session itself.
	Planned bool
	// Joined is the revision at which the host joined, and Term the term of the
	// leader that proposed the command. The command has no effect when the host
	// joined again or a later leader was elected. Zero means any.
	Joined uint64
	Term   uint64
	// LeasesOver is a revision. For backend servers that have this host as their
	// dispatcher and did not change after that revision, every lease from this host
	// or an earlier dispatcher is over. Zero means that nothing is known of them.
	LeasesOver uint64
}

// BackendAnnounced records a new backend server or a new incarnation of one.
type BackendAnnounced struct {
	Backend      string // unique within the service
	Service      string
	Incarnation  string
	DataCentre   string
	Address      string // IP:port of its HTTP listener
	Slots        int
	Connections  int
	ChecksOrders bool
}

// BackendLost records that the lease of a backend server is certainly over.
type BackendLost struct {
	Backend     string
	Service     string
	Incarnation string
}

// Released records that the old owner released slices that are being moved, or that
// its lease is certainly over.
type Released struct {
	Service string
	Backend string
	// Starts holds the starts of the released slices, and Epochs their epochs at the
	// time of the release. A slice with another epoch does not change.
	Starts []uint64
	Epochs []uint64
}

// Move starts to move slices to other owners.
type Move struct {
	Service string
	Moves   []SliceMove
}

// SliceMove holds the start of a slice, the epoch that the decision was based on and
// the next owner.
type SliceMove struct {
	Start uint64
	Epoch uint64
	To    string
}

// Split cuts slices so that each hash in Hashes gets its own slice and a slice begins
// at each hash in Cuts.
type Split struct {
	Service string
	Hashes  []uint64
	// Cuts holds the hashes at which a new slice begins.
	Cuts []uint64 `msgpack:",omitempty"`
}

// Publish adds or replaces service files.
type Publish struct {
	RequestID string
	Files     []File
}

// File is one service file as its team wrote it.
type File struct {
	Name    string // file name, for error messages
	Content string
}

// DrainKind tells what an operator takes out of service.
type DrainKind string

// What an operator can take out of service.
const (
	DrainDataCentre DrainKind = "data-centre"
	DrainBackend    DrainKind = "backend"
)

// Drain takes a data centre or a backend server out of service, or restores it.
type Drain struct {
	RequestID string
	Kind      DrainKind
	// Name is a data centre, or SERVICE/BACKEND for a backend server.
	Name string
	Out  bool
	// Version is the version of the drain record that this command creates; it
	// requires that the current version is Version-1. Zero means any next version.
	Version uint64
}

// ResultCode classifies the outcome of a command.
type ResultCode string

// The outcomes of a command.
const (
	ResultOK       ResultCode = "ok"
	ResultConflict ResultCode = "conflict" // another command took the same version; Detail tells which
	ResultInvalid  ResultCode = "invalid"  // rejected by a rule; nothing changed
	ResultStale    ResultCode = "stale"    // based on an outdated state; nothing changed
)

// Result is the outcome of a command. Results of commands with a request id are
// replicated, so that a repeated request gets the original result.
type Result struct {
	Code     ResultCode
	Detail   string   `msgpack:",omitempty"`
	Problems []string `msgpack:",omitempty"`
	Revision uint64
	// Versions holds the resulting version by service or drained name.
	Versions map[string]uint64 `msgpack:",omitempty"`
}

// Encode returns the form of c in the replicated log, packed when it is large.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil || len(data) < minPackedBytes {
		return data, errors.Annotate(err, "encoding command")
	}
	data, err = pack.Pack(data)
	return data, errors.Annotate(err, "packing command")
}

// minPackedBytes is the size from which commands are packed (compressed): a
// configuration of a thousand routes has some 700 KB, which the leader sends to each
// replica.
const minPackedBytes = 4 << 10

// minUnpackedByte is the lowest first byte of a command that is not packed. Commands
// are msgpack maps, and the first byte of packed data is lower.
const minUnpackedByte = 0x80

// Decode reads a command that Encode returned.
func Decode(data []byte) (*Command, error) {
	if len(data) > 0 && data[0] < minUnpackedByte {
		unpacked, err := pack.Unpack(data)
		if err != nil {
			return nil, errors.Annotate(err, "decoding command")
		}
		data = unpacked
	}
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, errors.Annotate(err, "decoding command")
	}
	return &c, nil
}

// MayWithdraw reports whether an encoded command may withdraw something that hosts still
// use until their tables are updated: a route, a backend server that leaves, or a data
// centre that is taken out of service. Hosts must apply such a command soon after it was
// acknowledged. Commands that are packed or cannot be decoded count as such.
func MayWithdraw(data []byte) bool {
	if len(data) == 0 || data[0] < minUnpackedByte {
		return true
	}
	var c struct {
		PatchItems, Publish, Drain msgpack.RawMessage
		BackendReported            *struct{ Leaving bool }
	}
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return true
	}
	return c.PatchItems != nil || c.Publish != nil || c.Drain != nil || c.BackendReported != nil && c.BackendReported.Leaving
}

// EncodeResult returns the stored form of r. Equal results have equal forms, because
// every replica stores them.
func EncodeResult(r *Result) ([]byte, error) {
	sorted := struct {
		Code     ResultCode
		Detail   string   `msgpack:",omitempty"`
		Problems []string `msgpack:",omitempty"`
		Revision uint64
		Versions map[string]any `msgpack:",omitempty"` // the encoder sorts the keys of this map type only
	}{Code: r.Code, Detail: r.Detail, Problems: r.Problems, Revision: r.Revision}
	if len(r.Versions) > 0 {
		sorted.Versions = map[string]any{}
	}
	for name, v := range r.Versions {
		sorted.Versions[name] = v
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	err := enc.Encode(&sorted)
	return buf.Bytes(), errors.Annotate(err, "encoding result")
}

// DecodeResult reads a result that EncodeResult returned.
func DecodeResult(data []byte) (*Result, error) {
	var r Result
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "decoding result")
	}
	return &r, nil
}

// CountSet returns the number of fields that are set; a valid command has one.
func (c *Command) CountSet() int {
	n := 0
	for _, set := range []bool{
		c.HostJoined != nil, c.HostLost != nil, c.BackendAnnounced != nil, c.BackendLost != nil,
		c.Released != nil, c.Move != nil, c.Split != nil, c.Publish != nil, c.Drain != nil,
		c.LeaderElected != nil, c.Repair != nil, c.HandOver != nil, c.HandedOver != nil,
		c.PatchItems != nil, c.BackendReported != nil, c.Granted != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

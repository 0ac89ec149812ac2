package command

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/pack"
)

// Command is a union: exactly one field is set.
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

// PatchItems sets and removes configuration items, all or none. It needs no
// request id, because an item whose version is not higher changes nothing.
type PatchItems struct {
	Items []items.Item
}

// BackendReported records what a backend server says of itself in its heartbeats,
// when it is new or has changed.
type BackendReported struct {
	Service    string
	Backend    string
	Born       int64 // wall-clock start of the process, Unix milliseconds
	DataCentre string
	Address    string // IP:port of its HTTP listener
	Slots      int
	Cold       bool
	// Leaving is set once and for all when the backend server announces its end.
	Leaving bool
}

// Granted completes moves to one backend server of slices that their old owners
// have given up. It is proposed when the next owner can be told at once.
type Granted struct {
	Service string
	Backend string
	// Starts are the starts of the slices; Epochs their epochs at the time of the
	// release. A slice with another epoch is left alone.
	Starts []uint64
	Epochs []uint64
}

// HandOver asks the dispatcher of a backend server to give its role to another host.
type HandOver struct {
	Service string
	Backend string
	From    string
	To      string
}

// HandedOver records that a dispatcher gave its role up and sends nothing more to
// the backend server. The role goes to the host that HandOver named, or to the
// standby dispatcher.
type HandedOver struct {
	Service string
	Backend string
	From    string
	// Limit is the number of requests that the backend server bore at once.
	Limit int
}

// Repair gives slices of a service the standbys and owners that they lack.
type Repair struct {
	Service string
}

// LeaderElected is the first command of a new leader. It makes sure that the
// leader's state holds all commands of earlier terms, and that a HostLost that an
// earlier leader decided on has no effect any more.
type LeaderElected struct {
	Term uint64
	Host string
}

// HostJoined records an entry host that opened a session.
type HostJoined struct {
	Host       string
	DataCentre string
	// Instance identifies the process; the leader copies it from the renewal.
	Instance string
	// PeerAddress serves jsonrpc2, RelayAddress relayed HTTP requests and
	// BackendsAddress announcements of backend servers; all are IP:port.
	PeerAddress     string
	RelayAddress    string
	BackendsAddress string
	AdminAddress    string
}

// HostLost records that the session of an entry host is over, by expiry or by
// an orderly stop. Its dispatcher roles go to the standby dispatchers.
type HostLost struct {
	Host string
	// Planned is set when the host closed its session itself.
	Planned bool
	// Joined is the revision at which the host joined, and Term the term of the
	// leader that decided. The command has no effect when the host joined again or
	// a later leader was elected meanwhile. Zero means any.
	Joined uint64
	Term   uint64
	// LeasesOver is a revision: every lease that this host or an earlier dispatcher
	// granted to the backend servers that the host dispatches to by that revision
	// is over. Zero says nothing.
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

// BackendLost records that the lease of a backend server is surely over.
type BackendLost struct {
	Backend     string
	Service     string
	Incarnation string
}

// Released records that the old owner gave up slices that are being moved, or
// that its lease is surely over.
type Released struct {
	Service string
	Backend string
	// Starts are the starts of the released slices; Epochs their epochs at the
	// time of the release. A release of another epoch has no effect.
	Starts []uint64
	Epochs []uint64
}

// Move starts moving slices to other owners.
type Move struct {
	Service string
	Moves   []SliceMove
}

// SliceMove names a slice, the epoch that the decision was based on and the next owner.
type SliceMove struct {
	Start uint64
	Epoch uint64
	To    string
}

// Split cuts slices so that each hash becomes a slice of its own.
type Split struct {
	Service string
	Hashes  []uint64
	// Cuts are hashes at which a new slice begins.
	Cuts []uint64 `msgpack:",omitempty"`
}

// Publish replaces or adds service files.
type Publish struct {
	RequestID string
	Files     []File
}

// File is one service file as its team wrote it.
type File struct {
	Name    string // file name, for error messages
	Content string
}

// DrainKind says what an operator takes out.
type DrainKind string

// The things that an operator can take out of service.
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
	// Version is the version of the drain record that this command creates;
	// it builds on Version-1. Zero means "the next one, whatever it is".
	Version uint64
}

// ResultCode classifies the outcome of a command.
type ResultCode string

// The outcomes of a command.
const (
	ResultOK       ResultCode = "ok"
	ResultConflict ResultCode = "conflict" // another command won; Detail names it
	ResultInvalid  ResultCode = "invalid"  // refused by a rule; nothing changed
	ResultStale    ResultCode = "stale"    // based on a state that is gone; nothing changed
)

// Result is the outcome of a command. It is replicated state for commands with
// a request id, so that a repeated request gets the original answer.
type Result struct {
	Code     ResultCode
	Detail   string   `msgpack:",omitempty"`
	Problems []string `msgpack:",omitempty"`
	Revision uint64
	// Versions gives the resulting version by service or drained name.
	Versions map[string]uint64 `msgpack:",omitempty"`
}

// Encode returns the log form of c.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil || len(data) < packFrom {
		return data, errors.Annotate(err, "encoding command")
	}
	data, err = pack.Pack(data)
	return data, errors.Annotate(err, "packing command")
}

// packFrom is the size from which commands are packed: a configuration of a thousand
// routes has some 700 KB, which the leader sends to each replica.
const packFrom = 4 << 10

// firstPlain is the lowest first byte of a command that is not packed: commands are
// msgpack maps.
const firstPlain = 0x80

// Decode reads the log form of a command.
func Decode(data []byte) (*Command, error) {
	if len(data) > 0 && data[0] < firstPlain {
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

// Withdraws reports whether a command may take something away that hosts act on by their
// tables: a route, a backend server that leaves, a data centre that is taken out. Hosts
// must not go on without it for long after it was acknowledged. Commands that are packed
// or cannot be read count as such.
func Withdraws(data []byte) bool {
	if len(data) == 0 || data[0] < firstPlain {
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

// EncodeResult returns the log form of r. Equal results have equal forms, because
// every replica stores them.
func EncodeResult(r *Result) ([]byte, error) {
	sorted := struct {
		Code     ResultCode
		Detail   string   `msgpack:",omitempty"`
		Problems []string `msgpack:",omitempty"`
		Revision uint64
		Versions map[string]any `msgpack:",omitempty"` // the encoder sorts keys of this type only
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

// DecodeResult reads the log form of a result.
func DecodeResult(data []byte) (*Result, error) {
	var r Result
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "decoding result")
	}
	return &r, nil
}

// Count returns the number of kinds that are set; a valid command has one.
func (c *Command) Count() int {
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

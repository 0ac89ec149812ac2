package wire

// MethodAllowanceLend asks the leader for requests of organisations.
const MethodAllowanceLend = "allowance.lend" // AllowanceCall -> AllowanceReply

// AllowanceCall tells the leader which loans of an entry host have ended, and asks for new ones.
type AllowanceCall struct {
	Host    string                `json:"host"`
	Settled []AllowanceSettlement `json:"settled,omitempty"`
	Wants   []AllowanceWant       `json:"wants,omitempty"`
}

// AllowanceSettlement ends a loan of which Unspent was not spent.
type AllowanceSettlement struct {
	Loan    uint64 `json:"l"`
	Unspent int    `json:"u,omitempty"`
}

// AllowanceWant asks for requests of one organisation: Need for those that wait and Ahead for
// those that are expected.
type AllowanceWant struct {
	Organisation string `json:"o"`
	Need         int    `json:"n,omitempty"`
	Ahead        int    `json:"a,omitempty"`
}

// AllowanceReply answers the wants of an AllowanceCall in their order. It has none if the
// replica does not lend.
type AllowanceReply struct {
	Loans []AllowanceLoan `json:"loans,omitempty"`
	// IntervalMs is the time that should pass between two calls of a host, so that the work of
	// the leader does not grow with the number of hosts.
	IntervalMs int64  `json:"interval_ms,omitempty"`
	Lends      bool   `json:"lends"`
	Leader     string `json:"leader,omitempty"` // host to ask if this one does not lend
	Reason     string `json:"reason,omitempty"`
}

// AllowanceLoan allows Amount requests within LifeMs from when the call was sent.
type AllowanceLoan struct {
	ID     uint64 `json:"l,omitempty"`
	Amount int    `json:"n,omitempty"`
	LifeMs int64  `json:"life,omitempty"`
	// WaitMs and SpacingMs say when requests that were needed and not lent should return.
	WaitMs    int64 `json:"wait,omitempty"`
	SpacingMs int64 `json:"gap,omitempty"`
	// Unknown means that the leader does not know the organisation.
	Unknown bool `json:"unknown,omitempty"`
}

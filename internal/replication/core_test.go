package replication

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// newTestCore returns replica h0/0 of a group of three, whose log ends in term 2.
func newTestCore(t *testing.T) *Core {
	data, err := EncodeMembers([]Member{{"h0/0", true}, {"h1/0", true}, {"h2/0", true}})
	c, err2 := NewCore(CoreConfig{ID: "h0/0", Group: "g", ElectionTicksMin: 12, ElectionTicksMax: 24, HeartbeatTicks: 2}, Persisted{
		HardState: HardState{Term: 2, Commit: 1},
		Entries:   []Entry{{1, 1, EntryMembers, data}, {2, 2, EntryCommand, nil}}})
	is.New(t).NoErr(errors.Join(err, err2))
	return c
}

// exchange lets the core process a message from h1/0 and returns its messages.
func exchange(c *Core, m Message) []Message {
	m.Group, m.From, m.To = "g", "h1/0", c.cfg.ID
	if err := c.Step(m); err != nil {
		panic(err)
	}
	rd := c.Ready()
	c.Advance(rd)
	return append(rd.Early, rd.Messages...)
}

// elect makes the core leader of term 3.
func elect(c *Core) {
	for c.role == follower {
		c.Tick()
	}
	exchange(c, Message{Type: MessagePreVoteReply, Term: 3})
	exchange(c, Message{Type: MessageVoteReply, Term: 3})
}

// Guards against a vote within the time of a lease that the replica may have
// acknowledged before a restart, or held as leader before it stepped down, and
// against messages of another group.
func TestVotesRefusedAfterStartAndStepDown(t *testing.T) {
	is, c := is.New(t), newTestCore(t)
	vote := Message{Type: MessageVote, Term: 9, Index: 9, LogTerm: 8}
	is.Equal(len(exchange(c, vote)), 0)
	elect(c)
	is.Equal(c.role, leader)
	exchange(c, Message{Type: MessageHeartbeatReply, Term: 5})
	is.Equal(c.role, follower)
	is.Equal(len(exchange(c, vote)), 0)
	c.quiet = c.cfg.ElectionTicksMin
	is.NoErr(c.Step(Message{Type: MessageVote, Group: "other", From: "h1/0", To: "h0/0", Term: 99, Index: 9, LogTerm: 8}))
	is.Equal(c.term, uint64(5))
	is.Equal(len(exchange(c, vote)), 1)
}

// Guards against committing an entry of an earlier term because a majority has
// it, and against a membership change before an own entry is committed or while
// another change is not.
func TestOwnTermCommitsFirst(t *testing.T) {
	is, c := is.New(t), newTestCore(t)
	elect(c)
	exchange(c, Message{Type: MessageAppendReply, Term: 3, Index: 2})
	is.Equal(c.commit, uint64(1))
	_, err := c.ProposeChange(ChangeAddLearner, "h3/0")
	is.Equal(err, ErrChangeInProgress)
	exchange(c, Message{Type: MessageAppendReply, Term: 3, Index: 3})
	is.Equal(c.commit, uint64(3))
	_, err = c.ProposeChange(ChangeAddLearner, "h3/0")
	is.NoErr(err)
	_, err = c.ProposeChange(ChangeAddLearner, "h4/0")
	is.Equal(err, ErrChangeInProgress)
}

// Guards against a decoder that panics, or that loses what it accepts.
func FuzzDecode(f *testing.F) {
	seed, err := Message{Type: MessageAppend, Group: "g", Index: 1, Entries: []Entry{{2, 1, EntryCommand, []byte("x")}}}.Encode()
	is.New(f).NoErr(err)
	f.Add(seed)
	f.Add([]byte("\x81\xa1e\xdd\xfaD+E")) // a list of 4 billion entries that are not there
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := Decode(data); err == nil {
			again, err := m.Encode()
			back, err2 := Decode(again)
			third, err3 := back.Encode()
			is.New(t).True(errors.Join(err, err2, err3) == nil && string(third) == string(again))
		}
	})
}

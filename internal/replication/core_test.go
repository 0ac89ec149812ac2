package replication

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

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

// elect makes the core the leader of the next term.
func elect(c *Core) {
	for c.role == follower {
		c.Tick()
	}
	exchange(c, Message{Type: MessagePreVoteReply, Term: c.term + 1})
	exchange(c, Message{Type: MessageVoteReply, Term: c.term})
}

// Guards against a vote during a lease that the replica may have acknowledged
// before a restart, or held as leader before it stepped down, and against
// processing messages of another group.
func TestVotesRefusedAfterStartAndStepDown(t *testing.T) {
	is, c := is.New(t), newSim(t, 1, 3).hosts[0].driver.core
	vote := Message{Type: MessageVote, Term: 9, Index: 9, LogTerm: 8}
	is.Equal(len(exchange(c, vote)), 0)
	elect(c)
	is.Equal(c.role, leader)
	exchange(c, Message{Type: MessageHeartbeatReply, Term: 5})
	is.Equal(c.role, follower)
	is.Equal(len(exchange(c, vote)), 0)
	c.ticksSinceLeader = c.cfg.ElectionTicksMin
	is.NoErr(c.Step(Message{Type: MessageVote, Group: "other", From: "h1/0", To: "h0/0", Term: 99, Index: 9, LogTerm: 8}))
	is.Equal(c.term, uint64(5))
	is.Equal(len(exchange(c, vote)), 1)
}

// Guards against committing an entry of an earlier term because a majority has
// it, and against a membership change before an entry of the leader's term is
// committed or while another change is in progress.
func TestOwnTermEntryMustCommitFirst(t *testing.T) {
	is, c := is.New(t), newSim(t, 1, 3).hosts[0].driver.core
	exchange(c, Message{Type: MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{2, 2, EntryCommand, nil}}})
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

// Guards against a decoder that panics, or that loses data which it accepts.
func FuzzDecode(f *testing.F) {
	seed, err := Message{Type: MessageAppend, Group: "g", Index: 1, Entries: []Entry{{2, 1, EntryCommand, []byte("x")}}}.Encode()
	is.New(f).NoErr(err)
	f.Add(seed)
	f.Add([]byte("\x81\xa1e\xdd\xfaD+E")) // declares a list of 4 billion entries without data
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := Decode(data); err == nil {
			again, err := m.Encode()
			back, err2 := Decode(again)
			third, err3 := back.Encode()
			is.New(t).True(errors.Join(err, err2, err3) == nil && string(third) == string(again))
		}
	})
}

package replication

import (
	"errors"
	"fmt"
)

// Bootstrap writes the first entry of a new group, the member list, to an empty
// store. It must be run once for each initial member, with the same list. The
// store's own replica must be in the list. It returns ErrNotEmpty if the store
// has state.
func Bootstrap(storage Storage, groupID string, members []Member) error {
	identity := storage.Identity()
	if identity.Group != groupID {
		return fmt.Errorf("replication: store belongs to group %q, not %q", identity.Group, groupID)
	}
	state, err := storage.Load()
	if err != nil {
		return err
	}
	if !state.Empty() {
		return ErrNotEmpty
	}
	if err := validateMembers(identity.ID(), members); err != nil {
		return err
	}
	data, err := EncodeMembers(members)
	if err != nil {
		return err
	}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: data}
	return storage.Append(HardState{Term: 1, Commit: 1}, []Entry{first})
}

func validateMembers(own ReplicaID, members []Member) error {
	seen := map[ReplicaID]bool{}
	voters := 0
	for _, m := range members {
		if seen[m.ID] || m.ID.Host() == string(m.ID) {
			return fmt.Errorf("replication: replica id %q is malformed or listed twice", m.ID)
		}
		seen[m.ID] = true
		if m.Voter {
			voters++
		}
	}
	if !seen[own] {
		return fmt.Errorf("replication: own replica %q is not in the list of members", own)
	}
	if voters == 0 {
		return errors.New("replication: the list of members has no voter")
	}
	return nil
}

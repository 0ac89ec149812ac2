package table

// ChangedOwners returns the backend servers of a service whose slices, or their
// state, may differ between old and t. A backend server that is not in the result
// owns the same slices in both. It compares whole chunks, which tables share as
// long as they do not change.
func (t *Table) ChangedOwners(old *Table, service string) map[string]bool {
	a, b := old.entry(service), t.entry(service)
	changed := map[string]bool{}
	if a == b {
		return changed
	}
	a.addOwnersOfUnsharedChunks(b, changed)
	b.addOwnersOfUnsharedChunks(a, changed)
	return changed
}

// addOwnersOfUnsharedChunks adds the owners of slices in chunks that e and other do
// not share to owners.
func (e *serviceEntry) addOwnersOfUnsharedChunks(other *serviceEntry, owners map[string]bool) {
	if e == nil {
		return
	}
	shared := map[*packedSlice]bool{}
	if other != nil {
		for _, chunk := range other.slices.chunks {
			shared[&chunk[0]] = true
		}
	}
	for c, chunk := range e.slices.chunks {
		// The last slice of a chunk ends where the next chunk begins.
		if shared[&chunk[0]] && (c+1 == len(e.slices.chunks) || shared[&e.slices.chunks[c+1][0]]) {
			continue
		}
		for i := range chunk {
			owners[e.names.byID[chunk[i].owner]] = true
		}
	}
}

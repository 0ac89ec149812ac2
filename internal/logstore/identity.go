package logstore

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/replication"
)

// loadIdentity reads the identity file, or creates it in a folder without state.
// A folder that has a log or snapshot but no identity was damaged or assembled by
// hand.
func loadIdentity(dir string, o Options) (replication.Identity, error) {
	path := filepath.Join(dir, identityName)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return createIdentity(dir, path, o)
	}
	var id replication.Identity
	if err != nil {
		return id, errors.Trace(err)
	}
	if err := json.Unmarshal(data, &id); err != nil || id.Incarnation == "" {
		return id, fmt.Errorf("%w: identity file %s is not readable (%v)", ErrDamaged, path, err)
	}
	if id.Group != o.Group || id.Host != o.Host {
		return id, fmt.Errorf("data folder %s: %w: it belongs to host %q of group %q, not to host %q of group %q",
			dir, ErrWrongReplica, id.Host, id.Group, o.Host, o.Group)
	}
	return id, nil
}

func createIdentity(dir, path string, o Options) (replication.Identity, error) {
	id := replication.Identity{Group: o.Group, Host: o.Host, Incarnation: strings.ToLower(rand.Text())}
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		if numbers, err := numberedFiles(dir, prefix); err != nil || len(numbers) > 0 {
			return id, fmt.Errorf("%w: data folder %s has a log or snapshot but no identity file (%v)", ErrDamaged, dir, err)
		}
	}
	data, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return id, errors.Trace(err)
	}
	return id, writeAtomically(o.create, path, data)
}

package items

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// KeyDigest identifies a key of an organisation without holding it. Tables, logs and
// reports carry digests, so that only the operators' documents contain keys.
type KeyDigest [keyDigestBytes]byte

// keyDigestBytes is the length of a digest: two keys share one with a chance of 2^-64 for
// billions of keys.
const keyDigestBytes = 16

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// Organisation is a group of callers with keys of its own and an allowance of requests.
type Organisation struct {
	// Keys are the digests of its keys.
	Keys []KeyDigest
	// HasPriority tells that Priority replaces the priority of the routes.
	HasPriority bool
	Priority    int
	// Rate is the allowance in requests per second over all hosts, Burst the number of
	// requests that it may exceed it by at once. A rate of zero means no limit.
	Rate  float64
	Burst float64
}

// Caller is the organisation that a key belongs to, with its name.
type Caller struct {
	Name    string
	Version uint64
	*Organisation
}

// HasOrganisations reports whether the configuration names organisations. Only then do
// requests need a key.
func (s *Set) HasOrganisations() bool { return s.organisations > 0 }

// CallerOfKey returns the organisation that a key belongs to.
func (s *Set) CallerOfKey(key string) (*Caller, bool) {
	c, ok := s.callersByKey[DigestKey(key)]
	return c, ok
}

// Organisation returns the configuration of an organisation, or nil.
func (s *Set) Organisation(name string) *Organisation {
	return s.items[Key{KindOrganisation, name}].Organisation
}

// indexOrganisations fills the index of the keys after organisations have changed.
func (s *Set) indexOrganisations() {
	s.organisations, s.callersByKey = 0, map[KeyDigest]*Caller{}
	for _, key := range slices.SortedFunc(maps.Keys(s.items), CompareKeys) {
		item := s.items[key]
		if item.Organisation == nil {
			continue
		}
		s.organisations++
		c := &Caller{Name: key.Name, Version: item.Version, Organisation: item.Organisation}
		for _, digest := range item.Organisation.Keys {
			s.callersByKey[digest] = c
		}
	}
}

// validateOrganisation returns the problems of an organisation by itself.
func (i *Item) validateOrganisation() []string {
	o := i.Organisation
	var problems []string
	if o.Rate < 0 || o.Burst < 0 {
		problems = append(problems, i.label()+": rate and burst must not be negative")
	}
	empty := DigestKey("")
	for n, digest := range o.Keys {
		if digest == empty {
			problems = append(problems, fmt.Sprintf("%s: key %d is empty", i.label(), n+1))
		}
	}
	return problems
}

// sharedKeys returns a problem for each key that would belong to two organisations after
// the patch. A key is named by its position, never by its text.
func (s *Set) sharedKeys(patch []Item) []string {
	if !slices.ContainsFunc(patch, func(i Item) bool { return i.Kind == KindOrganisation }) {
		return nil
	}
	next, _ := s.Apply(patch)
	holders := map[KeyDigest]string{}
	var problems []string
	for _, item := range next.Active() {
		if item.Organisation == nil {
			continue
		}
		for n, digest := range item.Organisation.Keys {
			if holder, taken := holders[digest]; taken && holder != item.Name {
				problems = append(problems, fmt.Sprintf("%s: key %d belongs to organisation %q too", item.label(), n+1, holder))
			}
			holders[digest] = item.Name
		}
	}
	return problems
}

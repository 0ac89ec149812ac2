package placement

import "sort"

// KeyLoad is the measured load of one key, by its hash.
type KeyLoad struct {
	Hash uint64
	Load float64
	Own  bool // the key is a slice of its own already
}

// HotOptions bounds the splitting of hot keys.
type HotOptions struct {
	// Share is the load of a key, relative to the mean load of a server, from which
	// it becomes a slice of its own. Zero means DefaultHotShare.
	Share float64
	// MaxOwn bounds the keys that are slices of their own, those that exist
	// included. Zero means DefaultMaxOwn.
	MaxOwn int
}

// Defaults of HotOptions.
const (
	// DefaultHotShare is a third of the slack that the default target leaves, so that
	// the slices that are not split stay small enough to be moved within it.
	DefaultHotShare = 0.05
	DefaultMaxOwn   = 512
)

// HotKeys returns the hashes that become slices of their own, hottest first.
// total is the load of all keys in the same unit, servers the number of servers.
func HotKeys(keys []KeyLoad, total float64, servers int, opts HotOptions) []uint64 {
	if opts.Share <= 0 {
		opts.Share = DefaultHotShare
	}
	if opts.MaxOwn <= 0 {
		opts.MaxOwn = DefaultMaxOwn
	}
	threshold := opts.Share * total / float64(max(servers, 1))
	var hot []KeyLoad
	own := 0
	for _, k := range keys {
		if k.Own {
			own++
		} else if k.Load > 0 && k.Load >= threshold {
			hot = append(hot, k)
		}
	}
	sort.Slice(hot, func(i, j int) bool {
		if hot[i].Load != hot[j].Load {
			return hot[i].Load > hot[j].Load
		}
		return hot[i].Hash < hot[j].Hash
	})
	var out []uint64
	for _, k := range hot[:min(len(hot), max(opts.MaxOwn-own, 0))] {
		out = append(out, k.Hash)
	}
	return out
}

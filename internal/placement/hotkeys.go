package placement

import "sort"

// KeyLoad is the measured load of one key, by its hash.
type KeyLoad struct {
	Hash     uint64
	Load     float64
	HasSlice bool // the key already has its own slice
}

// HotKeyOptions bounds the splitting of hot keys.
type HotKeyOptions struct {
	// MinLoadShare is the load of a key, relative to the mean load of a server, from
	// which it gets its own slice. Zero means DefaultMinLoadShare.
	MinLoadShare float64
	// MaxKeySlices bounds the keys with their own slices, existing ones included.
	// Zero means DefaultMaxKeySlices.
	MaxKeySlices int
}

// Defaults of HotKeyOptions.
const (
	// DefaultMinLoadShare is a third of the slack that DefaultTarget leaves, so that
	// slices that are not split stay small enough to be moved within it.
	DefaultMinLoadShare = 0.05
	DefaultMaxKeySlices = 512
)

// HotKeys returns the hashes of the keys that get their own slices, hottest first.
// total is the load of all keys in the unit of KeyLoad.Load, and servers is the
// number of servers.
func HotKeys(keys []KeyLoad, total float64, servers int, opts HotKeyOptions) []uint64 {
	if opts.MinLoadShare <= 0 {
		opts.MinLoadShare = DefaultMinLoadShare
	}
	if opts.MaxKeySlices <= 0 {
		opts.MaxKeySlices = DefaultMaxKeySlices
	}
	threshold := opts.MinLoadShare * total / float64(max(servers, 1))
	var hot []KeyLoad
	keySlices := 0
	for _, k := range keys {
		if k.HasSlice {
			keySlices++
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
	for _, k := range hot[:min(len(hot), max(opts.MaxKeySlices-keySlices, 0))] {
		out = append(out, k.Hash)
	}
	return out
}

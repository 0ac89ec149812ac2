package permit

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RankIssuers returns the hosts that may manage a queue in the order in which all entry hosts ask
// them (rendezvous hashing): entry hosts agree without communication, each host manages its
// share of the queues, and a lost host's queues spread over the others.
func RankIssuers(hosts []string, queue string) []string {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b, queue), rendezvousWeight(a, queue)), cmp.Compare(a, b))
	})
	return out
}

func rendezvousWeight(host, queue string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))  // a hash does not fail
	_, _ = h.Write([]byte{0})     // names hold no zero byte
	_, _ = h.Write([]byte(queue)) // a hash does not fail
	return mixBits(h.Sum64())
}

// mixBits spreads the bits of an FNV hash: hashes of strings that differ in the last byte are
// close to each other.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

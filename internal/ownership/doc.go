// Package ownership is the aggregate of slices: which backend server owns each
// range of key hashes, and by which steps ownership changes. A living owner
// always gives a slice up before another one gets it. The package knows no
// transport and no clock.
package ownership

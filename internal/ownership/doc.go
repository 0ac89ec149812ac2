// Package ownership holds which backend server owns each slice, a range of key
// hashes, and implements the transitions of ownership. An owner that is alive
// always releases a slice before another server gets it. The package uses no
// transport and no clock.
package ownership

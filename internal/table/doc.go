// Package table holds the immutable routing table that traffic reads. A table
// is replaced as a whole by a new one that shares what did not change.
package table

// Package table holds the immutable routing table that requests are routed by. A
// change creates a new table, which shares the unchanged parts with the old one.
package table

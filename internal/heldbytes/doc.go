// Package heldbytes accounts for the bytes that a host holds for others: what it has read
// from one side and the other side has not taken yet.
//
// The account has one limit for all directions. Bytes that would exceed it are not read, new
// work that would add to it is refused, and the largest holder that makes no progress ends.
package heldbytes

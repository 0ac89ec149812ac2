// Package hostlink lets the bodies of requests pass the link of a host in the order of what their
// callers lose, and only while the link has room for them beside heads, responses and calls between
// hosts. A host has one Pacer for each direction of its link.
package hostlink

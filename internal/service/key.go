package service

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxKeyBytes is the maximum length of a key in bytes.
const MaxKeyBytes = 512

// KeyError reports why a request carries no usable key. It is a client error.
type KeyError struct {
	// Source is the part of the request in which the service expects the key.
	Source string
	Reason string
}

// Error implements the error interface.
func (e *KeyError) Error() string { return fmt.Sprintf("key in %s %s", e.Source, e.Reason) }

// HashKey returns the hash that assigns a key to a slice.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// KeyOf returns the key of a request whose path matched prefix. It returns a
// *KeyError when the key is missing, empty, repeated, malformed or too long, and
// an empty key when the service is not sharded by key.
func (f *File) KeyOf(r *http.Request, prefix string) (string, error) {
	if f.Key == nil {
		return "", nil
	}
	switch {
	case f.Key.Header != "":
		return singleKey("header "+f.Key.Header, r.Header.Values(f.Key.Header))
	case f.Key.Query != "":
		source := "query parameter " + f.Key.Query
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			return "", &KeyError{source, "cannot be read: the query is malformed"}
		}
		return singleKey(source, query[f.Key.Query])
	default:
		return pathKey(r.URL, prefix, f.Key.PathSegment)
	}
}

// singleKey returns the only value of source. It returns a *KeyError unless
// there is exactly one value of 1 to MaxKeyBytes bytes.
func singleKey(source string, values []string) (string, error) {
	switch {
	case len(values) == 0:
		return "", &KeyError{source, "is missing"}
	case len(values) > 1:
		return "", &KeyError{source, fmt.Sprintf("is given %d times; it must be given once", len(values))}
	case values[0] == "":
		return "", &KeyError{source, "is empty"}
	case len(values[0]) > MaxKeyBytes:
		return "", &KeyError{source, fmt.Sprintf("has %d bytes; at most %d are allowed", len(values[0]), MaxKeyBytes)}
	}
	return values[0], nil
}

// pathKey returns segment n of the path after prefix, unescaped. The escaped path
// is split into segments, so that a key may contain an escaped slash.
func pathKey(u *url.URL, prefix string, n int) (string, error) {
	source := fmt.Sprintf("path segment %d after %s", n, prefix)
	if n < 0 {
		// Expectations are also checked against files whose key source is invalid.
		return "", &KeyError{source, "does not exist"}
	}
	segments := strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	n += strings.Count(strings.TrimSuffix(prefix, "/"), "/")
	if n >= len(segments) {
		return "", &KeyError{source, "is missing"}
	}
	key, err := url.PathUnescape(segments[n])
	if err != nil {
		return "", &KeyError{source, "cannot be read: the path is malformed"}
	}
	return singleKey(source, []string{key})
}

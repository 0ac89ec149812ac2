package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

func readCallHeaders(h http.Header) (RequestInfo, error) {
	c := RequestInfo{ID: h.Get(wire.HeaderRequestID)}
	if text := h.Get(wire.HeaderTimeoutMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return c, fmt.Errorf("%s is %q; must be a whole number of milliseconds above 0", wire.HeaderTimeoutMs, text)
		}
		c.Left = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get(wire.HeaderHash); text != "" {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return c, fmt.Errorf("%s is %q; must be a hash in hexadecimal", wire.HeaderHash, text)
		}
		c.Keyed, c.Hash = true, hash
	}
	return c, nil
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 1), 10) }

// formatSeconds formats a duration as decimal seconds.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

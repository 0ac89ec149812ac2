package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"
)

// readBackTime is how long the operator asks for the configuration (contact_ms).
const readBackTime = 3 * time.Second

// unreadableChange sends one change whose bytes are no UTF-8, and so no JSON text, after a sound one
// was acknowledged, and reads the configuration back.
func unreadableChange(r *run) []string {
	r.startHosts(3, 1)
	r.configureReads()
	r.patch(map[string]any{"upsert": map[string]any{"routes": map[string]any{"r-new": route("new", "stock", "00000002")}}, "remove": map[string]any{"routes": []any{}}})
	var broken []string
	if r.trouble {
		body, err := json.Marshal(map[string]any{"upsert": map[string]any{"routes": map[string]any{"r-odd": route("odd", "stock", "00000003")}}, "remove": map[string]any{"routes": []any{}}})
		require(err == nil, "encoding a change: %v", err)
		body = bytes.Replace(body, []byte("shop.example"), []byte("\xc3\x28.example"), 1)
		status, answer, err := post(r.controls[0].address(portControl), "config.patch", "", body)
		r.note("operator: change %q is answered %d %s %v", body, status, answer, err)
		if err == nil && status == http.StatusOK {
			broken = append(broken, "CONFIG: a change that cannot be read, as its bytes are no UTF-8, was acknowledged")
		}
	}
	reads, readable := 0, 0
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h := r.controls[reads%len(r.controls)]
		reads++
		status, answer, err := post(h.address(portControl), "config.get", "", nil)
		var items struct {
			Routes map[string]json.RawMessage `json:"routes"`
		}
		ok := err == nil && status == http.StatusOK && utf8.Valid(answer) && json.Unmarshal(answer, &items) == nil && items.Routes["r-new"] != nil
		r.note("operator: reads back from %s: status %d, %d bytes, UTF-8: %t, with the acknowledged route r-new: %t", h.name, status, len(answer), utf8.Valid(answer), ok)
		if ok {
			readable++
		}
	}
	require(r.trouble || readable > 0, "the configuration could not be read back without the disruption")
	if readable == 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: in %v, none of %d answers could be read, so that no acknowledged item was read back", readBackTime, reads))
	}
	return broken
}

package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator calls the control hosts as the platform's operators do: it waits a second for an
// answer and then sends the same call to another host.
type operator struct {
	d      *deployment
	client *http.Client
}

func newOperator(d *deployment) *operator {
	return &operator{d: d, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// callOnce sends a call to one host. The status is 0 if there was no answer.
func (o *operator) callOnce(h *host, call, of, body string) (status int, answer string) {
	resp, err := o.client.Post("http://"+h.address(portControl)+"/api/rpc?call="+call+"&of="+of, "application/json", strings.NewReader(body))
	if err != nil {
		o.d.rec.add("operator: %s %s to %s: %v", call, of, h.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	o.d.rec.add("operator: %s %s to %s: %d", call, of, h.name, resp.StatusCode)
	return resp.StatusCode, string(text)
}

// call sends a call to the hosts in turn until one acknowledges it, and reports whether one
// did within the timeout.
func (o *operator) call(hosts []*host, call, of, body string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := o.callOnce(hosts[i%len(hosts)], call, of, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

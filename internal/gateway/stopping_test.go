package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// A large response is in flight when the host ends its requests. Guards against a response that
// is aborted although the rest of it arrives in time.
func TestEndRequestsLetsStartedResponseFinish(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	const size = 3 * maxBufferedResponse
	goOn := make(chan struct{})
	w.startBackend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", itoa(size))
		_, _ = rw.Write(make([]byte, 2*maxBufferedResponse))
		_ = http.NewResponseController(rw).Flush()
		<-goOn
		_, _ = rw.Write(make([]byte, maxBufferedResponse))
	})
	req, err := http.NewRequest(http.MethodGet, w.server.URL+"/list/x", nil)
	is.NoErr(err)
	req.Header.Set(wire.HeaderRequestID, "r1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, maxBufferedResponse))
	is.NoErr(err)
	w.gateway.EndRequests()
	close(goOn)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(rest), 2*maxBufferedResponse)
}

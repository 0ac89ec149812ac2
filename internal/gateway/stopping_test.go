package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/wire"
)

// A large answer is on its way as the host ends its requests. Guards against an answer that is
// broken off although the rest of it comes in time.
func TestEndOfCallsLetsAnAnswerGoOn(t *testing.T) {
	is, w := is.New(t), newWorld(t)
	w.configure()
	const size = 3 * smallAnswer
	goOn := make(chan struct{})
	w.backend("vault", "v1", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", itoa(size))
		_, _ = rw.Write(make([]byte, 2*smallAnswer))
		_ = http.NewResponseController(rw).Flush()
		<-goOn
		_, _ = rw.Write(make([]byte, smallAnswer))
	})
	req, err := http.NewRequest(http.MethodGet, w.server.URL+"/list/x", nil)
	is.NoErr(err)
	req.Header.Set(wire.HeaderRequestID, "r1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, smallAnswer))
	is.NoErr(err)
	w.gateway.EndCalls()
	close(goOn)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(rest), 2*smallAnswer)
}

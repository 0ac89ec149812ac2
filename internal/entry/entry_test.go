package entry

import (
	"net/http"
	"strings"
	"testing"
)

// Guards the basic path of a keyed request, with and without the relay hop.
func TestKeyedRequestLocalAndRelayed(t *testing.T) {
	w := newWorld(t, nil)
	for _, host := range []string{"h1", "h2"} {
		got := w.call(host, http.MethodPost, "/desk/x", "id-"+host, strings.NewReader("hello"))
		w.NoErr(got.err)
		w.Equal(got.body, "hello")
		w.Equal(got.verdict, "answered")
		w.Equal(w.backends["b1"].ran("id-"+host), 1)
	}
}

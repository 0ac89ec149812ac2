package control

import (
	"crypto/sha256"
	"fmt"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/ownership"
)

// maxResults is the number of operator results that are remembered. At the
// design target of 23,000 changes a day they cover more than four hours.
const maxResults = 4096

// result is the remembered outcome of an operator command.
type result struct {
	RequestID string
	Digest    [sha256.Size]byte // of the encoded command
	Index     uint64
	Encoded   []byte
}

// results holds the outcomes of operator commands by request id. The oldest are
// dropped first.
type results struct {
	byID  map[string]*result
	order []*result // oldest first
}

func newResults() *results { return &results{byID: map[string]*result{}} }

func (r *results) add(e *result) {
	if len(r.order) == maxResults {
		delete(r.byID, r.order[0].RequestID)
		r.order = append(r.order[:0:0], r.order[1:]...)
	}
	r.byID[e.RequestID] = e
	r.order = append(r.order, e)
}

// executeOnce executes an operator command unless a command with its request id was
// executed before. A resend of the same command gets the original result.
func (s *State) executeOnce(index uint64, id string, data []byte, execute func() *command.Result) *command.Result {
	if id == "" {
		return refusedResult(index, invalidf("operator command without a request id"))
	}
	digest := sha256.Sum256(data)
	if old := s.results.byID[id]; old != nil {
		if old.Digest != digest {
			return refusedResult(index, errors.WithType(errors.Errorf(
				"request id %s was used by another command, applied at revision %d", id, old.Index), fleet.ErrConflict))
		}
		return storedResult(index, old.Encoded)
	}
	res := execute()
	encoded, err := command.EncodeResult(res)
	if err != nil {
		return refusedResult(index, errors.WithType(err, fleet.ErrInvalid))
	}
	s.results.add(&result{RequestID: id, Digest: digest, Index: index, Encoded: encoded})
	return res
}

// storedResult decodes the result of an earlier command.
func storedResult(index uint64, encoded []byte) *command.Result {
	res, err := command.DecodeResult(encoded)
	if err != nil {
		return refusedResult(index, errors.WithType(err, fleet.ErrInvalid))
	}
	return res
}

// refusedResult returns the result of a command that changed nothing.
func refusedResult(index uint64, err error) *command.Result {
	code := command.ResultInvalid
	switch {
	case errors.Is(err, fleet.ErrConflict):
		code = command.ResultConflict
	case errors.Is(err, fleet.ErrStale), errors.Is(err, ownership.ErrStale):
		code = command.ResultStale
	}
	return &command.Result{Code: code, Detail: err.Error(), Revision: index}
}

func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), fleet.ErrInvalid)
}

func partialDetail(done, requested int) string {
	if done == requested {
		return ""
	}
	return fmt.Sprintf("%d of %d slices; the others changed since the decision", done, requested)
}

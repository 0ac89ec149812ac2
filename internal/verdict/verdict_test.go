package verdict

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a verdict whose header form is not parsed as the same verdict.
func TestParseInvertsString(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{NotRun, MayHaveRun, Answered} {
		got, ok := Parse(v.String())
		is.True(ok)
		is.Equal(got, v)
	}
	_, ok := Parse("verdict(0)")
	is.True(!ok)
}

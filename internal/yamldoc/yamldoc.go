package yamldoc

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Problem is one mistake in a file.
type Problem struct {
	File string
	// Line is 1-based.
	Line int
	// Field is the path of the field, such as backend.slots or expect[0].key.
	Field string
	// Reason says what is wrong and what is allowed.
	Reason string
}

// String returns the problem as file:line: field: reason.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// Document is a decoded file together with the lines of its fields and the
// problems found in it so far.
type Document struct {
	name     string
	lines    map[string]int
	problems []Problem
}

// Decode reads the single YAML document in content into the struct that into
// points to; fields that the file does not name keep their values. It reports
// false when content is not a YAML mapping, so that nothing was decoded.
// Fields are named by their yaml tags.
func Decode(name string, content []byte, into any) (*Document, bool) {
	d := &Document{name: name, lines: map[string]int{}}
	tokens := lexer.Tokenize(string(content))
	if line := tooDense(tokens); line > 0 {
		d.problems = append(d.problems, Problem{File: name, Line: line, Reason: fmt.Sprintf(
			"too many nested values; at most %d brackets may be open and at most %d parts may stand between two commas or line ends",
			maxFlowDepth, maxRun)})
		return d, false
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		d.problems = append(d.problems, d.syntaxProblem(err))
		return d, false
	}
	body, ok := d.singleBody(file)
	if !ok {
		return d, false
	}
	d.decodeStruct("", body, into)
	return d, true
}

// The parser takes quadratic time on nested values: 60,000 opening brackets
// took 5.8 s, which would stall the leader that checks a published file.
const (
	maxFlowDepth = 32 // brackets that are open at the same time
	maxRun       = 64 // tokens between two commas, brackets or, outside of brackets, line ends
)

// tooDense returns the line where the nesting exceeds what the parser handles
// in linear time, or 0.
func tooDense(tokens token.Tokens) int {
	depth, run, line := 0, 0, 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth, run = depth+1, 0
		case token.SequenceEndType, token.MappingEndType:
			depth, run = max(depth-1, 0), 0
		case token.CollectEntryType:
			run = 0
		default:
			if depth == 0 && t.Position.Line != line {
				run = 0
			}
			run++
		}
		line = t.Position.Line
		if depth > maxFlowDepth || run > maxRun {
			return max(line, 1)
		}
	}
	return 0
}

// Problems returns what was found so far, in the order of decoding.
func (d *Document) Problems() []Problem { return d.problems }

// Has reports whether the file gives the field.
func (d *Document) Has(field string) bool { return d.lines[field] != 0 }

// Line returns the line of the field, or that of the nearest enclosing field
// that the file gives.
func (d *Document) Line(field string) int {
	for field != "" {
		if line := d.lines[field]; line != 0 {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

// Add reports a mistake in a field.
func (d *Document) Add(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.name, Line: d.Line(field), Field: field, Reason: fmt.Sprintf(format, args...),
	})
}

// Failed reports whether a problem of the field itself was found already, so
// that its rules need not be checked against a value that was not decoded.
func (d *Document) Failed(field string) bool {
	for _, p := range d.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// Require checks a rule on a field that decoded well.
func (d *Document) Require(ok bool, field, format string, args ...any) bool {
	if !ok && !d.Failed(field) {
		d.Add(field, format, args...)
	}
	return ok
}

// RequireRange checks that the value of a field lies between low and high.
func RequireRange[T int | int64 | time.Duration](d *Document, field string, value, low, high T) {
	d.Require(value >= low && value <= high, field, "is %v; must be between %v and %v", value, low, high)
}

func (d *Document) syntaxProblem(err error) Problem {
	p := Problem{File: d.name, Line: 1, Reason: "invalid YAML: " + err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Reason = "invalid YAML: " + located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			p.Line = max(token.Position.Line, 1)
		}
	}
	return p
}

func (d *Document) singleBody(file *ast.File) (*ast.MappingNode, bool) {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		d.Add("", "the file must hold exactly one YAML document, found %d", len(bodies))
		return nil, false
	}
	body, ok := bodies[0].(*ast.MappingNode)
	if !ok {
		d.Add("", "the file must be a mapping of field names to values")
	}
	return body, ok
}

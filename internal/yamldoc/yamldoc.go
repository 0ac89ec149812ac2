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

// Decode decodes the single YAML document in content into the struct that target
// points to; fields that the document leaves out keep their values. Fields are
// named by their yaml tags. It reports false, and decodes nothing, when content
// is not exactly one YAML mapping. The caller must check Problems in any case.
func Decode(name string, content []byte, target any) (*Document, bool) {
	d := &Document{name: name, lines: map[string]int{}}
	tokens := lexer.Tokenize(string(content))
	if line := findExcessiveNesting(tokens); line > 0 {
		d.problems = append(d.problems, Problem{File: name, Line: line, Reason: fmt.Sprintf(
			"too many nested values; at most %d brackets may be open and at most %d parts may stand between two commas or line ends",
			maxFlowDepth, maxTokensBetweenSeparators)})
		return d, false
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		d.problems = append(d.problems, d.describeSyntaxError(err))
		return d, false
	}
	body, ok := d.rootMapping(file)
	if !ok {
		return d, false
	}
	d.decodeRoot("", body, target)
	return d, true
}

// Limits on the nesting of a document. The parser takes quadratic time on nested
// values: 60,000 opening brackets took 5.8 s, which would stall the leader while
// it validates a published file.
const (
	maxFlowDepth               = 32 // brackets that are open at the same time
	maxTokensBetweenSeparators = 64 // tokens between two commas, brackets or, outside of brackets, line ends
)

// findExcessiveNesting returns the line where the nesting exceeds what the parser
// handles in linear time, or 0.
func findExcessiveNesting(tokens token.Tokens) int {
	depth, tokensSinceSeparator, line := 0, 0, 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth, tokensSinceSeparator = depth+1, 0
		case token.SequenceEndType, token.MappingEndType:
			depth, tokensSinceSeparator = max(depth-1, 0), 0
		case token.CollectEntryType:
			tokensSinceSeparator = 0
		default:
			if depth == 0 && t.Position.Line != line {
				tokensSinceSeparator = 0
			}
			tokensSinceSeparator++
		}
		line = t.Position.Line
		if depth > maxFlowDepth || tokensSinceSeparator > maxTokensBetweenSeparators {
			return max(line, 1)
		}
	}
	return 0
}

// Problems returns the problems found so far, in the order in which they were found.
func (d *Document) Problems() []Problem { return d.problems }

// Has reports whether the file sets the field.
func (d *Document) Has(field string) bool { return d.lines[field] != 0 }

// Line returns the 1-based line of the field, or that of the nearest enclosing
// field that the file sets, or else 1.
func (d *Document) Line(field string) int {
	for field != "" {
		if line := d.lines[field]; line != 0 {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

// AddProblem records a problem with a field, at the line of the field.
func (d *Document) AddProblem(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.name, Line: d.Line(field), Field: field, Reason: fmt.Sprintf(format, args...),
	})
}

// HasProblem reports whether a problem with the field itself is already recorded, so
// that rules are not checked on a value that could not be decoded.
func (d *Document) HasProblem(field string) bool {
	for _, p := range d.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// Require records a problem with a field if ok is false and the field has no problem
// yet. It returns ok.
func (d *Document) Require(ok bool, field, format string, args ...any) bool {
	if !ok && !d.HasProblem(field) {
		d.AddProblem(field, format, args...)
	}
	return ok
}

// RequireRange records a problem unless the value of a field is between low and high,
// both included.
func RequireRange[T int | int64 | time.Duration](d *Document, field string, value, low, high T) {
	d.Require(value >= low && value <= high, field, "is %v; must be between %v and %v", value, low, high)
}

func (d *Document) describeSyntaxError(err error) Problem {
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

// rootMapping returns the mapping that is the only document of the file. Otherwise
// it records a problem and reports false.
func (d *Document) rootMapping(file *ast.File) (*ast.MappingNode, bool) {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		d.AddProblem("", "the file must hold exactly one YAML document, found %d", len(bodies))
		return nil, false
	}
	body, ok := bodies[0].(*ast.MappingNode)
	if !ok {
		d.AddProblem("", "the file must be a mapping of field names to values")
	}
	return body, ok
}

package verdict

import "fmt"

// Verdict states what is known about the execution of a request.
type Verdict uint8

// The verdicts, from the one that is safest to retry to the final one.
const (
	// NotRun means that the request certainly did not run.
	NotRun Verdict = iota + 1
	// MayHaveRun means that the request may have run, in part or in whole.
	MayHaveRun
	// Answered means that the backend server responded to the request.
	Answered
)

// Header carries the verdict in HTTP responses.
const Header = "Agatestep-Verdict"

var headerForms = map[Verdict]string{
	NotRun:     "not-run",
	MayHaveRun: "may-have-run",
	Answered:   "answered",
}

// String returns v in the form of the header.
func (v Verdict) String() string {
	if name, ok := headerForms[v]; ok {
		return name
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse parses the header form of a verdict. It reports false for any other text.
func Parse(text string) (Verdict, bool) {
	for v, name := range headerForms {
		if name == text {
			return v, true
		}
	}
	return 0, false
}

// Reason is a stable code for the reason why a request was refused or failed.
type Reason string

// Error is the refusal or failure of a request, with what is known of its execution.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// Reason is the machine-readable code, sent in ReasonHeader.
	Reason Reason
	// Detail describes the failure for a human reader.
	Detail string
	// Cause is the underlying error, if any.
	Cause error
}

// ReasonHeader carries the reason code in HTTP responses.
const ReasonHeader = "Agatestep-Reason"

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s, %s): %v", e.Detail, e.Reason, e.Verdict, e.Cause)
	}
	return fmt.Sprintf("%s (%s, %s)", e.Detail, e.Reason, e.Verdict)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

package verdict

// WorseFailure returns the failure to report to the caller of a request whose last attempt failed
// with latest after earlier attempts that failed with previous. A failure after which the
// request may have run is kept; a refusal is replaced by a later failure. Either may be nil.
func WorseFailure(previous, latest *Error) *Error {
	if latest == nil || previous != nil && previous.Verdict != NotRun {
		return previous
	}
	return latest
}

package verdict

// Worse returns the error that the caller of a request is told when the attempt that failed
// with b followed attempts that failed with a: the one after which more may have run. A
// later refusal takes the place of an earlier refusal, and nothing takes the place of an error
// after which the request may have run. Either may be nil.
func Worse(a, b *Error) *Error {
	if b == nil || a != nil && a.Verdict != NotRun {
		return a
	}
	return b
}

package verdict

import "net/http"

// The reasons for refusals because of allowances.
const (
	ReasonOverAllowance    Reason = "over-allowance"    // the organisation has used its allowance
	ReasonNoLender         Reason = "no-lender"         // no leader said what is left of the allowance
	ReasonAllowanceExpired Reason = "allowance-expired" // the request waited longer than its allowance lasted
)

// OverAllowance returns an error for a request that is over the allowance of its organisation.
func OverAllowance(detail string) *Error {
	return Refuse(http.StatusTooManyRequests, ReasonOverAllowance, detail)
}

package verdict

import "net/http"

// The reasons for refusals and failures of requests.
const (
	ReasonSession        Reason = "session-invalid"        // the host has no valid session
	ReasonShutdown       Reason = "shutting-down"          // the host is stopping
	ReasonBadRequest     Reason = "bad-request"            // the request is malformed
	ReasonNoRoute        Reason = "no-route"               // no service matches
	ReasonNoKey          Reason = "no-key"                 // the request lacks the key of its service
	ReasonUnknownCaller  Reason = "unknown-caller"         // the caller has no key of an organisation
	ReasonBodyTooLarge   Reason = "body-too-large"         // the body exceeds its limit
	ReasonHeaderTooLarge Reason = "header-too-large"       // the header exceeds its limit
	ReasonNoBackend      Reason = "no-backend"             // no backend server can serve the request now
	ReasonMoved          Reason = "moved"                  // the sender's routing table is outdated
	ReasonOldTable       Reason = "old-table"              // the routing table was not confirmed as current in time
	ReasonRetargeted     Reason = "retargeted"             // the target changed before the request was sent
	ReasonNotConfirmed   Reason = "not-confirmed"          // the owner has not confirmed its ownership order
	ReasonOverloaded     Reason = "overloaded"             // a queue is full or a limit is reached
	ReasonHeldBytes      Reason = "held-bytes"             // the host holds too many bytes that others have not taken
	ReasonDeadline       Reason = "deadline"               // the deadline has passed or cannot be met
	ReasonCancelled      Reason = "cancelled"              // the caller disconnected
	ReasonConnect        Reason = "connect-failed"         // no connection could be obtained
	ReasonConnectionLost Reason = "connection-lost"        // the connection broke after it was obtained
	ReasonForeignAnswer  Reason = "foreign-answer"         // the response belongs to another request
	ReasonBackendRefused Reason = "refused-by-backend"     // the backend server refused the request
	ReasonBadAnswer      Reason = "answer-without-verdict" // a relayed response lacks its verdict
)

// Refuse returns an error for a request that did not run, with an HTTP status.
func Refuse(status int, reason Reason, detail string) *Error {
	return &Error{Verdict: NotRun, Status: status, Reason: reason, Detail: detail}
}

// Unavailable returns a 503 error for a request that did not run.
func Unavailable(reason Reason, detail string) *Error {
	return Refuse(http.StatusServiceUnavailable, reason, detail)
}

// Package verdict defines what is known of the execution of a request on a backend
// server, and the errors of requests.
//
// Every refusal and failure that reaches a caller carries a verdict. A request that
// is not idempotent may be retried only when its verdict is NotRun.
package verdict

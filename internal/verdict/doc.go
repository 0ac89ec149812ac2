// Package verdict says whether a request may have run on a backend server.
//
// Every refusal and failure that reaches a caller carries a verdict. Only a
// request whose verdict is NotRun may be sent again when it is not idempotent.
package verdict

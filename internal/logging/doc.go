// Package logging builds the structured log of a process. Its rate is limited and
// it never blocks: lines above the limit, or more than the output can take, are
// dropped and counted, and the count is logged.
package logging

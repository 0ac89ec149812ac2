// Package logging builds the structured log of a process. Its volume is bounded
// and it never blocks: lines beyond the bound, or beyond what the output takes,
// are dropped and counted, and the count is logged.
package logging

//go:build review

package main

// caseError is a reason why a case can't run.
type caseError string

// Error implements error.
func (e caseError) Error() string { return string(e) }

// Reasons why a case can't run.
const (
	errNoCommand caseError = "the deploy file has no command"
	errNotReady  caseError = "the gateway isn't ready in time"
	errStillRuns caseError = "the gateway doesn't end in time"
	errWatchers  caseError = "not exactly one gateway watches the store"
)

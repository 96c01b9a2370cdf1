package quota

import (
	"fmt"
	"time"
)

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// ErrNoCoordinator means that no coordinator could be reached that has tokens to grant. Another host may reach one.
const ErrNoCoordinator ConstError = "no coordinator of quotas with tokens can be reached"

// OverLimitError reports that a workspace has used its quota.
type OverLimitError struct {
	// Workspace is the name of the workspace.
	Workspace string
	// RetryIn is the estimated time until it has quota again.
	RetryIn time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("workspace %s has used its quota, the next request is possible in about %s", e.Workspace, e.RetryIn.Round(time.Millisecond))
}

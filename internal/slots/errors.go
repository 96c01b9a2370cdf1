package slots

import (
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

// RefusedError reports that no slot of the group was granted. The request was not sent to any target.
type RefusedError struct {
	Key    Key
	Reason slot.Reason
	// RetryAfter is the time after which the same request is expected to be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("slot group %s: %s", e.Key, e.Reason)
}

// OwnerLostError reports that the group's owner can't be reached or was lost while the request waited. The
// request was not sent to any target.
type OwnerLostError struct {
	Key   Key
	Owner string
	Err   error
}

// Error implements error.
func (e *OwnerLostError) Error() string {
	return fmt.Sprintf("owner %q of slot group %s lost: %v", e.Owner, e.Key, e.Err)
}

// Unwrap returns Err.
func (e *OwnerLostError) Unwrap() error { return e.Err }

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// ErrNotConfigured reports that the owner has no configuration with the group yet.
const ErrNotConfigured ConstError = "the host has no configuration with the group"

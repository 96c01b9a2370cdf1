package ctl

import (
	"context"
	"errors"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/setting"
	"github.com/bilberryline/bilberryline/internal/store"
)

// Exit codes. They are documented in docs/CONFIGURATION.md.
const (
	ExitOK = iota
	// ExitFailed is any failure that has no code of its own.
	ExitFailed
	// ExitUsage is an invalid command line or setting.
	ExitUsage
	// ExitInvalid is a configuration that fails validation.
	ExitInvalid
	// ExitConflict is a change based on a revision that is not the newest.
	ExitConflict
	// ExitHarm is a change that cuts off a caller or empties a service, without the flag that allows it.
	ExitHarm
	// ExitUnknown is a change whose outcome is unknown: it may have been accepted.
	ExitUnknown
	// ExitStore is a store that can't be reached or rejects the call.
	ExitStore
	// ExitLag is a host that is behind the accepted revision or can't be reached.
	ExitLag
)

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var (
		invalid            *setting.InvalidError
		usage              *UsageError
		invalidDeclaration config.DeclarationErrors
		conflict           *revision.ConflictError
		harm               *HarmError
		unknown            *revision.OutcomeUnknownError
		lag                *LagError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalidDeclaration):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &harm):
		return ExitHarm
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &lag):
		return ExitLag
	case isStoreError(err):
		return ExitStore
	}
	return ExitFailed
}

// isStoreError reports whether err is a failed store call. The expiry of --timeout counts as one.
func isStoreError(err error) bool {
	var notApplied *store.NotAppliedError
	return errors.As(err, &notApplied) || store.IsOutcomeUnknown(err) || errors.Is(err, context.DeadlineExceeded)
}

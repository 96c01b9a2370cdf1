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
	// ExitFailed is any failure without a code of its own.
	ExitFailed
	// ExitUsage is a wrong command line or setting.
	ExitUsage
	// ExitInvalid is a configuration that fails the check.
	ExitInvalid
	// ExitConflict is a change made on another revision than the newest.
	ExitConflict
	// ExitHarm is a change that cuts off a caller or empties a service without leave.
	ExitHarm
	// ExitUnknown is a change of which it is not known whether it was accepted.
	ExitUnknown
	// ExitStore is a store that can't be reached or refuses the call.
	ExitStore
	// ExitLag is a host that is behind or can't be reached.
	ExitLag
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var (
		invalid  *setting.InvalidError
		usage    *UsageError
		problems config.DeclarationErrors
		conflict *revision.ConflictError
		harm     *HarmError
		unknown  *revision.OutcomeUnknownError
		lag      *LagError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &harm):
		return ExitHarm
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &lag):
		return ExitLag
	case isStore(err):
		return ExitStore
	}
	return ExitFailed
}

func isStore(err error) bool {
	var notDone *store.NotAppliedError
	return errors.As(err, &notDone) || store.IsOutcomeUnknown(err) || errors.Is(err, context.DeadlineExceeded)
}

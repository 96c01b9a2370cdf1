// Package setting holds what all commands share: the version of the build, the definition of flags that can
// also be set by environment variables, and the error for a flag or variable with an invalid value.
package setting

import "fmt"

// Version is the version of the build. The Makefile sets it at link time.
var Version = "dev"

// InvalidError reports a setting whose value is not allowed.
type InvalidError struct {
	// Flag is the flag's name with the leading dashes.
	Flag string
	// Env is the environment variable that sets the same value. It is empty if there is none.
	Env string
	// Value is the rejected value, as given.
	Value string
	// Allowed describes the allowed values, with their unit.
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	name := e.Flag
	if e.Env != "" {
		name += " (" + e.Env + ")"
	}
	return fmt.Sprintf("setting %s: value %q is not allowed: want %s", name, e.Value, e.Allowed)
}

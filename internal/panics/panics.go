// Package panics turns panics of one unit of work into errors, so that they don't end the process.
package panics

import (
	"fmt"
	"runtime/debug"
)

// Error reports a panic.
type Error struct {
	// Value is the value passed to panic, and Stack the stack trace of the goroutine.
	Value any
	Stack []byte
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Catch calls f. It returns an *Error if f panics, and nil otherwise.
func Catch(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Error{Value: v, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

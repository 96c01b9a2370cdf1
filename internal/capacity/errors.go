package capacity

import "fmt"

// MeasureError reports a failed measurement.
type MeasureError struct {
	Measurement string
	Cause       error
}

// Error implements error.
func (e *MeasureError) Error() string { return e.Measurement + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MeasureError) Unwrap() error { return e.Cause }

// GoTestError reports a failed go test command with its output.
type GoTestError struct {
	Command string
	Output  string
	Cause   error
}

// Error implements error.
func (e *GoTestError) Error() string { return e.Command + ": " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *GoTestError) Unwrap() error { return e.Cause }

// NoResultError reports that the output of a benchmark lacks the figure in a unit.
type NoResultError struct {
	Command, Benchmark, Unit string
}

// Error implements error.
func (e *NoResultError) Error() string {
	return e.Command + ": no figure in " + e.Unit + " of " + e.Benchmark
}

// MarkerError reports that the page lacks a marker of its generated part.
type MarkerError struct {
	Marker string
}

// Error implements error.
func (e *MarkerError) Error() string { return "marker not found: " + e.Marker }

// TooFewResponsesError reports that too few requests of a run were answered for a valid measurement.
// Rate is in requests per second.
type TooFewResponsesError struct {
	Rate, Answered, Requests int
}

// Error implements error.
func (e *TooFewResponsesError) Error() string {
	return fmt.Sprintf("%d of %d requests answered at %d a second", e.Answered, e.Requests, e.Rate)
}

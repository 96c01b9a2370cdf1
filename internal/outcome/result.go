package outcome

// Result is the final result of a request. The zero value is Unknown, which guarantees nothing.
type Result uint8

// Results of a request.
const (
	// Unknown means that a backend server may have run the request.
	Unknown Result = iota
	// Answered means that a complete response of a backend server was read.
	Answered
	// NotRun means that no backend server ran the request and none will.
	NotRun
)

var resultNames = [...]string{"unknown", "answered", "not-run"}

// String returns the name of the result as callers see it.
func (r Result) String() string { return resultNames[r] }

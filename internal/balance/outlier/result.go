package outlier

// Kind is the kind of a Result.
type Kind uint8

// Kinds of results.
const (
	// Success is a complete response that reports no failure.
	Success Kind = iota
	// Failure is a response that reports a failure of the server, or a timeout.
	Failure
	// ConnectionFailure is a connection that was refused or broke.
	ConnectionFailure
)

// Result is the result of one request to a target.
type Result struct {
	Kind Kind
	// LatencyRatio is the latency of the request divided by the usual latency of its route. It is only
	// used for successes.
	LatencyRatio float64
}

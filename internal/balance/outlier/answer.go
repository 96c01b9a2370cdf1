package outlier

// Kind sorts the ends of requests.
type Kind uint8

// Kinds of answers.
const (
	// Success is a whole answer that is no failure.
	Success Kind = iota
	// Failure is an answer that reports a failure of the server, or a timeout.
	Failure
	// ConnectionFailure is a connection that was refused or died.
	ConnectionFailure
)

// Result is the end of one request on a target.
type Result struct {
	Kind Kind
	// LatencyRatio is the running time divided by the usual one of the route. It is read for good answers.
	LatencyRatio float64
}

package gateway

// HeaderNames are the names of the HTTP fields that callers, hosts and backend servers exchange.
type HeaderNames struct {
	// RequestID names one attempt of a caller. Backend servers repeat it in their answers.
	RequestID string
	// Deadline is the number of milliseconds that the sender will wait.
	Deadline string
	// Signature marks an answer of a backend server.
	Signature string
	// ExpectInstance names the only incarnation that may run the request.
	ExpectInstance string
	// Instance names the incarnation that answers a health request.
	Instance string
	// NotRun says that the backend server did not run the request.
	NotRun string
	// Load is the report of a backend server: requests running, waiting, slots and, if it tells, the
	// time that work takes in percent of the usual.
	Load string
}

// DefaultHeaderNames are the names of the product's own interface.
var DefaultHeaderNames = HeaderNames{
	RequestID:      "Bilberryline-Request-Id",
	Deadline:       "Bilberryline-Deadline-Ms",
	Signature:      "Bilberryline-Signature",
	ExpectInstance: "Bilberryline-Expect-Instance",
	Instance:       "Bilberryline-Instance",
	NotRun:         "Bilberryline-Not-Run",
	Load:           "Bilberryline-Load",
}

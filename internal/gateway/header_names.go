package gateway

// HeaderNames holds the names of the HTTP headers exchanged by callers, hosts and backend servers.
type HeaderNames struct {
	// RequestID is the ID of one attempt of a caller. Backend servers repeat it in their responses.
	RequestID string
	// Deadline is the number of milliseconds for which the sender waits.
	Deadline string
	// Signature marks a response as sent by a backend server.
	Signature string
	// ExpectInstance is the ID of the only incarnation that may run the request.
	ExpectInstance string
	// Instance is the ID of the incarnation that responds to a health request.
	Instance string
	// NotRun declares that the backend server did not run the request.
	NotRun string
	// Load is the load report of a backend server: the numbers of requests running and waiting, the number of slots
	// and, optionally, its slowness in percent.
	Load string
	// Leaving is set to 1 in all responses of a backend server that shuts down and accepts no new requests.
	Leaving string
	// Key is the API key of a caller. It is never forwarded.
	Key string
	// Workspace is the name of the caller's workspace, for backend servers.
	Workspace string
	// WarmUp is the time in milliseconds for which the backend server that responds to a health request stays cold. A
	// warm server leaves it out or says 0.
	WarmUp string
}

// DefaultHeaderNames holds the default header names.
var DefaultHeaderNames = HeaderNames{
	RequestID:      "Bilberryline-Request-Id",
	Deadline:       "Bilberryline-Deadline-Ms",
	Signature:      "Bilberryline-Signature",
	ExpectInstance: "Bilberryline-Expect-Instance",
	Instance:       "Bilberryline-Instance",
	NotRun:         "Bilberryline-Not-Run",
	Load:           "Bilberryline-Load",
	Leaving:        "Bilberryline-Leaving",
	Key:            "Bilberryline-Key",
	Workspace:      "Bilberryline-Workspace",
	WarmUp:         "Bilberryline-Warm-Up-Ms",
}

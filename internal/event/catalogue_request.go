package event

// Events of the path of a request through an entry host, 1300 to 1399.
const (
	RequestReceived  ID = 1300
	RequestQueued    ID = 1301
	RequestGranted   ID = 1302
	RequestSent      ID = 1303
	RequestAnswered  ID = 1304
	RequestRefused   ID = 1305
	RequestUnknown   ID = 1306
	RequestRetried   ID = 1307
	RequestHedged    ID = 1308
	RequestMalformed ID = 1309
	RequestPanicked  ID = 1310
)

var _ = register(
	Kind{RequestReceived, "request-received", Debug, "a request was received from a caller", ""},
	Kind{RequestQueued, "request-queued", Debug, "a request waits for a slot", ""},
	Kind{RequestGranted, "request-granted", Debug, "a request was granted a slot of a backend server", ""},
	Kind{RequestSent, "request-sent", Debug, "a request is about to be sent to a backend server", ""},
	Kind{RequestAnswered, "request-answered", Debug, "the complete response of a backend server was forwarded to the caller", ""},
	Kind{RequestRefused, "request-refused", Debug, "a request was refused; it was not run", ""},
	Kind{RequestUnknown, "request-unknown", Warning, "the outcome of a request is unknown", "Check the backend server's own records for the request."},
	Kind{RequestRetried, "request-retried", Debug, "a request is retried on another backend server", ""},
	Kind{RequestHedged, "request-hedged", Debug, "an idempotent request is hedged: a second attempt is sent", ""},
	Kind{RequestMalformed, "request-malformed", Debug, "a request with ambiguous framing was refused", ""},
	Kind{RequestPanicked, "request-panicked", Error, "the handler of a request panicked; the caller gets status 500", "Report the stack trace as a bug."},
)

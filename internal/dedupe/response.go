package dedupe

// HeaderField is one field of an answer's header.
type HeaderField struct {
	Name  string
	Value string
}

// Response is the HTTP response that a run received.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields in their order.
	Header []HeaderField
	// Body is the complete body.
	Body []byte
	// Dropped is true if only the status was kept because the answer was too large.
	Dropped bool
}

// size returns the number of bytes in the answer's header and body.
func (a Response) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// statusOnly returns the answer without header and body.
func (a Response) statusOnly() Response { return Response{Status: a.Status, Dropped: true} }

package dedupe

// HeaderField is one field of a response's header.
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
	// Dropped is true if only the status was kept because the response was too large.
	Dropped bool
}

// size returns the number of bytes in the response's header and body.
func (r Response) size() int {
	n := len(r.Body)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// statusOnly returns the response without header and body.
func (r Response) statusOnly() Response { return Response{Status: r.Status, Dropped: true} }

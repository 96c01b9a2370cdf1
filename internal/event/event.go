// Package event defines the numbered events of all processes: the catalogue, the hybrid logical clock that
// orders events, the ring buffer that stores them and the writer of the log.
package event

// Fields are the optional attributes of an event. Empty fields are omitted from the output.
type Fields struct {
	// Request is the trace ID of the request.
	Request string `json:"request,omitempty"`
	// Caller is the caller's name in the configuration.
	Caller string `json:"caller,omitempty"`
	// Service is the service's name in the configuration.
	Service string `json:"service,omitempty"`
	// Target is the backend server's name.
	Target string `json:"target,omitempty"`
	// Peer is the ID of the other entry host.
	Peer string `json:"peer,omitempty"`
	// Revision is the configuration revision that the event concerns.
	Revision uint64 `json:"revision,omitempty"`
	// Detail is free text for people.
	Detail string `json:"detail,omitempty"`
}

// Event is one recorded event.
type Event struct {
	Stamp
	// Seq numbers the events of one incarnation of one host, starting at 1. A gap means that events were dropped.
	Seq uint64 `json:"seq"`
	// Host is the ID of the host that recorded the event.
	Host string `json:"host"`
	// Incarnation differs between restarts of a host.
	Incarnation uint64 `json:"incarnation"`
	// ID is the event's number in the catalogue.
	ID ID `json:"id"`
	Fields
}

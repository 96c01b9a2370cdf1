package registry

import "time"

// Configuration is a document of the operators as the store holds it.
type Configuration struct {
	// Revision is the store revision of the document.
	Revision uint64
	// Document is the document's text.
	Document []byte
}

// Batch is a set of records from the store or from another host.
type Batch struct {
	// Position is the store revision up to which the batch, with what came before it, is complete.
	Position uint64
	// ConfirmedAt is when the store last confirmed the position.
	ConfirmedAt time.Time
	// Direct says that the sender hears from the store itself.
	Direct bool
	// Relay says that the sender follows a host that hears from the store itself.
	Relay bool
	// Full says that the batch holds every record; records that it lacks have ended.
	Full bool

	Targets       []Target
	Hosts         []Host
	Configuration *Configuration
}

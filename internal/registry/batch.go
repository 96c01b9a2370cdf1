package registry

import (
	"fmt"
	"time"
)

// Configuration is a configuration document as the store holds it.
type Configuration struct {
	// Revision is the store revision of the document.
	Revision Revision
	// Document is the document's text.
	Document []byte
}

// Batch is a set of records from the store or from another host.
type Batch struct {
	// Sender is the id of the host that sent the batch. It is empty if the batch was read from the store.
	Sender string
	// Position is a store revision. Together with the batches before it, the batch holds all changes up to
	// this revision.
	Position Revision
	// ConfirmedAt is when the store last confirmed the position.
	ConfirmedAt time.Time
	// FromStore reports whether the records were read from the store, where targets renew theirs all the time. Hosts
	// send each other changes only.
	FromStore bool
	// Direct reports whether the sender watches the store itself.
	Direct bool
	// Relay reports whether the sender can be followed as a relay.
	Relay bool
	// Hops is the number of hosts between the sender and the store, or zero if its build doesn't say it.
	Hops int
	// Redirect is the host to follow in place of the sender, or nil.
	Redirect *Host
	// StoreFailed reports whether calls to the store have failed since it confirmed the position, at the sender or the
	// host that it follows.
	StoreFailed bool
	// RetainUntil is the time until which targets that the batch removes stay in use. It is zero if removals take
	// effect at once. Tombstones from another host have a time of their own.
	RetainUntil time.Time
	// Full reports whether the batch holds every record. Records that a full batch lacks have been removed.
	Full bool
	// HistoryStart is the store revision after which a full batch includes every removal as a tombstone.
	HistoryStart Revision

	Targets       []Target
	Hosts         []Host
	Evacuations   []Evacuation
	Configuration *Configuration
	// EvacuationsPosition is the store revision up to which the batch, together with the batches before it, holds all
	// changes of evacuations. It is zero if the sender's build doesn't know evacuations.
	EvacuationsPosition Revision
	// Odd lists the entries that could not be used.
	Odd []OddEntry
}

// origin describes for the log which configuration the batch brings, and how long ago the store has confirmed it.
func (b *Batch) origin(now time.Time) string {
	source := "the store"
	if b.Sender != "" {
		source = "another host"
	}
	return fmt.Sprintf("store %s from %s, confirmed %dms ago", b.Configuration.Revision, source, ageMs(now, b.ConfirmedAt))
}

// latestEra returns the newest era that the batch shows, or known if that is newer.
func (b *Batch) latestEra(known uint64) uint64 {
	if !b.Position.IsZero() {
		return max(known, b.Position.Era)
	}
	return known
}

// OddEntry is an entry in the store that can't be used, for example because another program wrote it.
type OddEntry struct {
	// Key is the key of the entry, or empty if it can't be read, and Revision its revision.
	Key      string
	Revision Revision
	// Reason says what is wrong.
	Reason string
}

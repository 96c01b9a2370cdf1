package dedupe

import "strconv"

// MaxKeyBytes is the maximum length of an Idempotency-Key.
const MaxKeyBytes = 255

// ID identifies an idempotency key of one caller at one service.
type ID struct {
	// Caller is the caller's name from the configuration.
	Caller string
	// Service is the service's name from the configuration.
	Service string
	// Key is the value of the Idempotency-Key header.
	Key string
}

// rendezvousKey returns the string that holders are ranked for. The length prefixes make it unique
// per id.
func (id ID) rendezvousKey() string {
	return strconv.Itoa(len(id.Caller)) + ":" + id.Caller +
		strconv.Itoa(len(id.Service)) + ":" + id.Service + id.Key
}

// size returns the number of bytes in the id's strings.
func (id ID) size() int { return len(id.Caller) + len(id.Service) + len(id.Key) }

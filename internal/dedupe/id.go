package dedupe

import "strconv"

// MaxKeyBytes is the longest Idempotency-Key that is taken.
const MaxKeyBytes = 255

// ID names a key of one caller at one service.
type ID struct {
	// Caller is the caller's name from the configuration.
	Caller string
	// Service is the service's name from the configuration.
	Service string
	// Key is the value of the Idempotency-Key header.
	Key string
}

// rendezvousKey is the string that holders are ranked for. Lengths keep different ids apart.
func (id ID) rendezvousKey() string {
	return strconv.Itoa(len(id.Caller)) + ":" + id.Caller +
		strconv.Itoa(len(id.Service)) + ":" + id.Service + id.Key
}

// size is the memory that the id takes, in bytes.
func (id ID) size() int { return len(id.Caller) + len(id.Service) + len(id.Key) }

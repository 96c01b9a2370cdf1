package limit

// Fixed is a concurrency limit that never changes. Tests compare Limit with it.
type Fixed struct{ slots int }

// NewFixed returns a limit that stays at slots, at least 1.
func NewFixed(slots int) Fixed { return Fixed{slots: max(1, slots)} }

// Value returns the number of requests that may run concurrently.
func (f Fixed) Value() int { return f.slots }

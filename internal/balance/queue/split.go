package queue

import "math"

// Capacity is what the queue needs to know of the slots that it feeds.
type Capacity struct {
	// Slots is the number of usable slots.
	Slots int
	// Busy counts the slots that each class holds, indexed by Class.
	Busy [classes]int
}

// split divides slots between the classes.
type split struct {
	// guarantee is the number of slots that waiting long work gets before short work.
	guarantee int
	// longLimit is the largest number of slots that long work may hold.
	longLimit int
}

const (
	// ample is the factor of the square root in square-root staffing (Halfin and Whitt 1981): with
	// demand plus twice its root in slots, few requests find all of them busy.
	ample = 2.0
	// scant is the same factor where slots are short: enough to keep the queue from growing.
	scant = 0.5
)

// staff returns the slots for a demand, which is the mean number of slots kept busy.
func staff(demand, factor float64) int {
	return int(math.Ceil(demand + factor*math.Sqrt(demand)))
}

// divide sets aside for short work what its demand needs by square-root staffing, amply if long
// work's demand leaves room and scantly if not, within the bounds of Config.ShortShare and
// Config.LongShare.
func divide(cfg Config, slots int, short, long float64) split {
	if slots < 2 {
		return split{guarantee: 0, longLimit: slots}
	}
	guarantee := max(1, int(cfg.MinLongShare*float64(slots)))
	floor := max(1, int(cfg.MinShortShare*float64(slots)))
	left := slots - staff(long, scant)
	reserve := max(floor, min(staff(short, ample), left), staff(short, scant))
	reserve = min(reserve, slots-guarantee)
	return split{guarantee: guarantee, longLimit: slots - reserve}
}

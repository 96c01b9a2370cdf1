package queue

import "math"

// Capacity describes the slots that the waiting requests compete for.
type Capacity struct {
	// Slots is the number of usable slots.
	Slots int
	// Busy is the number of slots that each class holds, indexed by Class.
	Busy [numClasses]int
}

// slotSplit is a division of the slots between the classes.
type slotSplit struct {
	// longGuarantee is the number of slots that waiting long requests get before short ones.
	longGuarantee int
	// longLimit is the largest number of slots that long requests may hold.
	longLimit int
}

const (
	// ampleFactor is the factor of the square root in square-root staffing (Halfin and Whitt 1981). With
	// as many slots as the demand plus twice its square root, few requests find all slots busy.
	ampleFactor = 2.0
	// minimalFactor is the factor for when slots are scarce. It just keeps the queue from growing.
	minimalFactor = 0.5
)

// slotsNeeded returns the number of slots for a demand by square-root staffing. The demand is the mean
// number of slots kept busy.
func slotsNeeded(demand, factor float64) int {
	return int(math.Ceil(demand + factor*math.Sqrt(demand)))
}

// newSlotSplit reserves slots for short requests by square-root staffing of their demand, with ampleFactor
// as far as the demand of long requests leaves room and with minimalFactor otherwise. The reserve is
// bounded by Config.MinShortShare and Config.MinLongShare.
func newSlotSplit(cfg Config, slots int, short, long float64) slotSplit {
	if slots < 2 {
		return slotSplit{longGuarantee: 0, longLimit: slots}
	}
	guarantee := max(1, int(cfg.MinLongShare*float64(slots)))
	floor := max(1, int(cfg.MinShortShare*float64(slots)))
	left := slots - slotsNeeded(long, minimalFactor)
	reserve := max(floor, min(slotsNeeded(short, ampleFactor), left), slotsNeeded(short, minimalFactor))
	reserve = min(reserve, slots-guarantee)
	return slotSplit{longGuarantee: guarantee, longLimit: slots - reserve}
}

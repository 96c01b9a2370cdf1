package retry

import "time"

// slotsPerWindow is the number of slots into which a Window divides its length.
const slotsPerWindow = 20

// Window limits extra attempts to a share of the first attempts in the last window, plus a fixed number. In contrast to
// Budget, what the requests of the window allow can be spent at once: faults come in bursts, in which all requests in
// flight at a server need their extra attempt at the same moment.
//
// It is not safe for concurrent use.
type Window struct {
	// Ratio is the number of extra attempts per first attempt, 0 to 1.
	Ratio float64
	// Allowance is the number of extra attempts that a window may have beyond the ratio.
	Allowance float64

	slot   time.Duration
	counts [slotsPerWindow + 1]windowCount // the current slot and those of the window before it
	latest int64                           // number of the current slot since the epoch
}

// windowCount holds the counts of one slot.
type windowCount struct{ first, extra float64 }

// NewWindow returns a window without attempts.
func NewWindow(length time.Duration) *Window { return &Window{slot: length / slotsPerWindow} }

// OnFirstAttempt counts a first attempt.
func (w *Window) OnFirstAttempt(now time.Time) { w.current(now).first++ }

// Available returns the number of extra attempts that are allowed now. Extra attempts count for a slot longer, and first
// attempts for a slot shorter, than the window, so that no window of its length exceeds the limit.
func (w *Window) Available(now time.Time) float64 {
	w.current(now)
	first, extra := 0.0, 0.0
	oldest := w.index(w.latest + 1) // the next slot replaces it
	for i, c := range w.counts {
		extra += c.extra
		if i != oldest {
			first += c.first
		}
	}
	return w.Ratio*first + w.Allowance - extra
}

// Spend counts an extra attempt if one is allowed, and reports whether it is.
func (w *Window) Spend(now time.Time) bool {
	if w.Available(now) < 1 {
		return false
	}
	w.current(now).extra++
	return true
}

// current returns the counts of the current slot, after it has dropped those that are too old.
func (w *Window) current(now time.Time) *windowCount {
	number := now.UnixNano() / int64(w.slot)
	if steps := number - w.latest; steps > 0 {
		for i := range min(steps, int64(len(w.counts))) {
			w.counts[w.index(number-i)] = windowCount{}
		}
		w.latest = number
	}
	return &w.counts[w.index(w.latest)]
}

func (w *Window) index(slot int64) int { return int(slot % int64(len(w.counts))) }

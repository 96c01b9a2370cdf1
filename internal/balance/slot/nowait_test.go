package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longSlotsAfterRefusals returns how many slots long requests get after the given number of long requests with
// NoWait were refused by a group whose slots for long requests are all occupied.
func longSlotsAfterRefusals(refusals int) int {
	g := NewGroup(Config{}, rand.New(rand.NewPCG(1, 2)))
	g.SetTargets(start, []Target{{Name: "a", Slots: 24}})
	now := start
	id := ID(0)
	short := func() {
		id++
		now = now.Add(time.Millisecond)
		if g.Acquire(now, Request{ID: id, Route: "short", Cost: 6 * time.Millisecond}).Verdict == Granted {
			g.Release(now, id, ReportWithoutLoad(OK, 6*time.Millisecond))
		}
	}
	long := func() bool {
		id++
		r := Request{ID: id, Route: "long", Long: true, Cost: 500 * time.Millisecond, NoWait: true}
		return g.Acquire(now, r).Verdict == Granted
	}
	fill := func() (granted []ID) {
		for long() {
			granted = append(granted, id)
		}
		return granted
	}
	for range 4000 {
		short()
	}
	held := fill()
	for range refusals {
		long()
	}
	for _, old := range held {
		g.Release(now, old, ReportWithoutLoad(Cancelled, 0))
	}
	return len(fill())
}

// TestNoWaitRefusalsKeepLongShare guards against counting refused requests with NoWait as demand. Other hosts try a
// full group and then get a slot elsewhere, which must not change how many slots are reserved for short requests.
func TestNoWaitRefusalsKeepLongShare(t *testing.T) {
	is.New(t).Equal(longSlotsAfterRefusals(200), longSlotsAfterRefusals(0))
}

package slot

import (
	"container/heap"
	"time"
)

// timer is an action on a target that is due at a set offset. Every timer also updates the target's drain and
// ejection state and its usable slots.
type timer struct {
	due           time.Duration
	target        *target
	endsCooldown  bool // one slot that is cooling down becomes free
	endsAbandoned bool // the slot of the abandoned grant grantID becomes free
	grantID       ID
	grantedAt     time.Duration // start of that grant
}

// timerHeap is a min-heap by due time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}

func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// popDue removes and returns the next timer that is due. The result is false when there is none.
func (h *timerHeap) popDue(now time.Duration) (timer, bool) {
	if len(*h) == 0 || (*h)[0].due > now {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}

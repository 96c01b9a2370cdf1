package slot

import (
	"container/heap"
	"time"
)

// timer is something that Tick does for a target at a set time. In any case the target's state is
// looked at anew.
type timer struct {
	due    time.Duration
	target *target
	endsCooldown bool // one held slot is freed
	endsAbandoned bool // the abandoned slot of left is freed
	grantID   ID
	grantedAt  time.Duration // when left was granted
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

// popDue removes and returns the next timer that is popDue.
func (h *timerHeap) popDue(now time.Duration) (timer, bool) {
	if len(*h) == 0 || (*h)[0].due > now {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}

package queue

import (
	"container/heap"
	"time"
)

// fairQueue orders the callers of one class by start-time fair queueing (Goyal, Vin and Cheng 1996).
// Each served request advances its caller's virtual start time by cost/weight. The caller with the
// smallest virtual start time is served next. A caller that was idle resumes at the current virtual
// time, so being idle earns no credit.
type fairQueue struct {
	virtualTime  float64 // virtual start time that the service has reached
	maxIdleStart float64 // largest virtual start time of any flow that became empty
	sweepAt      int     // number of flows at which idle flows are deleted
	flows        map[string]*flow
	active       flowHeap      // flows with waiting requests
	work         time.Duration // total cost of the waiting requests
	count        int           // number of waiting requests
}

func newFairQueue() fairQueue {
	return fairQueue{flows: make(map[string]*flow), sweepAt: minFlowsToSweep}
}

// flow returns the caller's flow, which it creates if needed, and updates its weight.
func (f *fairQueue) flow(caller string, weight float64) *flow {
	fl, ok := f.flows[caller]
	if !ok {
		fl = &flow{caller: caller, index: -1}
		f.flows[caller] = fl
	}
	fl.weight = weight
	return fl
}

func (f *fairQueue) push(n *node) {
	fl := f.flow(n.item.Caller, n.item.Weight)
	fl.pushBack(n)
	f.afterPush(fl, n)
}

// undoPop reverses the last pop: the item returns to the head of its flow and is no longer charged.
func (f *fairQueue) undoPop(n *node) {
	fl := f.flow(n.item.Caller, n.item.Weight)
	fl.start -= float64(n.item.Cost) / fl.weight
	fl.pushFront(n)
	f.afterPush(fl, n)
}

// afterPush updates the totals and the flow's position in the heap after n was added to fl.
func (f *fairQueue) afterPush(fl *flow, n *node) {
	f.work += n.item.Cost
	f.count++
	if fl.index >= 0 {
		heap.Fix(&f.active, fl.index)
		return
	}
	fl.start = max(fl.start, f.virtualTime)
	heap.Push(&f.active, fl)
}

// pop removes the head of the flow with the smallest virtual start time and charges its cost.
func (f *fairQueue) pop() *node {
	fl := f.active[0]
	n := fl.head
	f.virtualTime = max(f.virtualTime, fl.start)
	fl.start += float64(n.item.Cost) / fl.weight
	f.remove(n)
	return n
}

// remove removes a waiting item without charging its cost.
func (f *fairQueue) remove(n *node) {
	fl := n.flow
	fl.unlink(n)
	f.work -= n.item.Cost
	f.count--
	if fl.count == 0 {
		heap.Remove(&f.active, fl.index)
		f.handleEmptyFlow(fl)
		return
	}
	heap.Fix(&f.active, fl.index)
}

// handleEmptyFlow updates the virtual time after fl became empty. It also deletes the idle flows whose
// virtual start time has been passed once there are sweepAt flows.
func (f *fairQueue) handleEmptyFlow(fl *flow) {
	f.maxIdleStart = max(f.maxIdleStart, fl.start)
	if f.count == 0 {
		f.virtualTime = max(f.virtualTime, f.maxIdleStart)
	}
	if len(f.flows) < f.sweepAt {
		return
	}
	for name, idle := range f.flows {
		if idle.count == 0 && idle.start <= f.virtualTime {
			delete(f.flows, name)
		}
	}
	f.sweepAt = 2*len(f.flows) + minFlowsToSweep
}

// minFlowsToSweep is the number of flows below which idle flows are not deleted.
const minFlowsToSweep = 64

// largestFlow returns the active flow with the most waiting work per weight, or nil if none is active.
func (f *fairQueue) largestFlow() *flow {
	var largest *flow
	for _, fl := range f.active {
		if largest == nil || fl.weightedWork() > largest.weightedWork() {
			largest = fl
		}
	}
	return largest
}

// workAhead returns the work that fair queueing serves before a new request of the caller: the
// caller's own backlog, and from each other caller as much as its weight entitles it to in the
// meantime.
func (f *fairQueue) workAhead(caller string, weight float64, cost time.Duration) time.Duration {
	own := 0.0
	if fl, ok := f.flows[caller]; ok {
		own = float64(fl.work)
	}
	total := own
	round := (own + float64(cost)) / weight
	for _, fl := range f.active {
		if fl.caller == caller {
			continue
		}
		total += min(float64(fl.work), round*fl.weight)
	}
	return time.Duration(total)
}

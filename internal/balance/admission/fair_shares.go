package admission

import (
	"maps"
	"time"
)

const (
	// shareGrain is the work by which a caller may be ahead of its fair share before others go first. Without it, fair
	// sharing would override the order by objective even if no caller sends more than the others.
	shareGrain = 300 * time.Millisecond
	// maxCallers limits the number of callers that are remembered.
	maxCallers = 1024
)

// fairShares holds the virtual start times of callers for start-time fair queueing (Goyal, Vin and Cheng 1996), as the
// package queue has it. Here the start times are one criterion of the order among others, and requests leave in any
// order, so that there is no queue for each caller.
type fairShares struct {
	virtualTime float64 // start time that the service has reached, in seconds of work per weight
	starts      map[string]float64
}

func weightOf(r *Request) float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// start returns the virtual start time of a caller's next request. A caller that was idle gets no credit for it.
func (f *fairShares) start(caller string) float64 { return max(f.starts[caller], f.virtualTime) }

// charge charges a request that is served to its caller.
func (f *fairShares) charge(r *Request) {
	if f.starts == nil {
		f.starts = make(map[string]float64)
	}
	start := f.start(r.Caller)
	f.virtualTime = start
	if len(f.starts) >= maxCallers {
		maps.DeleteFunc(f.starts, func(_ string, at float64) bool { return at <= f.virtualTime })
	}
	if _, known := f.starts[r.Caller]; known || len(f.starts) < maxCallers {
		f.starts[r.Caller] = start + r.Work.Seconds()/weightOf(r)
	}
}

// clear forgets all callers. It is called when nothing waits, since then no caller was kept from its share.
func (f *fairShares) clear() {
	f.virtualTime = 0
	clear(f.starts)
}

// assign sets the share of each entry. The entries of a caller must be in the order in which they are served.
func (f *fairShares) assign(entries []*Entry) {
	total := 0.0
	for _, e := range entries {
		total += weightOf(&e.Request)
	}
	grain := shareGrain.Seconds() * float64(len(entries)) / max(total, 1e-9)
	next := make(map[string]float64)
	for _, e := range entries {
		at, known := next[e.Caller]
		if !known {
			at = f.start(e.Caller)
		}
		e.share = int((at - f.virtualTime) / grain)
		next[e.Caller] = at + e.Work.Seconds()/weightOf(&e.Request)
	}
}

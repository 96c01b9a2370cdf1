package queue

// flowHeap is a min-heap of active flows by virtual start time.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	fl := x.(*flow)
	fl.index = len(*h)
	*h = append(*h, fl)
}

func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	fl := old[last]
	old[last] = nil
	fl.index = -1
	*h = old[:last]
	return fl
}

// expiryHeap is a min-heap of waiting items by expiry time.
type expiryHeap []*node

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*h)
	*h = append(*h, n)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	n.index = -1
	*h = old[:last]
	return n
}

package queue

import "time"

// flow holds the waiting requests of one caller in one class, in order of arrival.
type flow struct {
	caller string
	weight float64
	start  float64       // virtual start time of the head, in nanoseconds of work per weight
	work   time.Duration // total cost of the waiting requests
	count  int
	head   *node
	tail   *node
	index  int // position in fairQueue.active, -1 when the flow is empty
}

func (f *flow) pushBack(n *node) {
	n.flow = f
	n.prev = f.tail
	n.next = nil
	if f.tail == nil {
		f.head = n
	} else {
		f.tail.next = n
	}
	f.tail = n
	f.added(n)
}

func (f *flow) pushFront(n *node) {
	n.flow = f
	n.prev = nil
	n.next = f.head
	if f.head == nil {
		f.tail = n
	} else {
		f.head.prev = n
	}
	f.head = n
	f.added(n)
}

func (f *flow) added(n *node) {
	f.count++
	f.work += n.item.Cost
}

func (f *flow) unlink(n *node) {
	if n.prev == nil {
		f.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		f.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next, n.flow = nil, nil, nil
	f.count--
	f.work -= n.item.Cost
}

// weightedWork returns the flow's waiting work divided by its weight, in nanoseconds.
func (f *flow) weightedWork() float64 { return float64(f.work) / f.weight }

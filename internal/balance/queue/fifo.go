package queue

// FIFO is an unbounded first-in, first-out queue without classes, fair sharing or deadlines. Tests
// compare Queue with it.
type FIFO struct{ items []Item }

// Offer adds a request.
func (f *FIFO) Offer(item Item) { f.items = append(f.items, item) }

// Next removes and returns the oldest request.
func (f *FIFO) Next() (Item, bool) {
	if len(f.items) == 0 {
		return Item{}, false
	}
	item := f.items[0]
	f.items = f.items[1:]
	return item, true
}

// Len returns the number of waiting requests.
func (f *FIFO) Len() int { return len(f.items) }

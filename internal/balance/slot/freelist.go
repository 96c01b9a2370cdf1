package slot

// freeList indexes the targets that have a free slot, in no order. Entering and leaving take
// constant time.
type freeList []*target

func (l *freeList) set(t *target, free bool) {
	switch {
	case free && t.freeIndex < 0:
		t.freeIndex = len(*l)
		*l = append(*l, t)
	case !free && t.freeIndex >= 0:
		l.remove(t)
	}
}

func (l *freeList) remove(t *target) {
	old := *l
	last := len(old) - 1
	moved := old[last]
	old[t.freeIndex] = moved
	moved.freeIndex = t.freeIndex
	old[last] = nil
	*l = old[:last]
	t.freeIndex = -1
}

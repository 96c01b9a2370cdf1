package slot

// freeList holds the targets that have a free slot, in no particular order. Adding and removing a target take
// constant time.
type freeList []*target

// set adds the target when it has a free slot and removes it otherwise.
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

package admission

import (
	"cmp"
	"slices"
	"time"
)

// orderInterval is the age after which the order is computed again although nothing was added or removed. Searches are
// at most 20 ms apart.
const orderInterval = 10 * time.Millisecond

// order brings the entries into the order in which they are served.
func (q *Queue) order(now time.Time) {
	if !q.dirty && now.Sub(q.orderedAt) < orderInterval {
		return
	}
	q.dirty, q.orderedAt = false, now
	if !q.rate.short {
		q.orderCalm()
		return
	}
	for _, e := range q.entries {
		e.late = now.After(lastStart(&e.Request, e.ObjectiveEnd))
		e.starved = q.classes.starved(e.Priority)
		e.share = 0
	}
	slices.SortFunc(q.entries, compare)
	q.callers.assign(q.entries)
	slices.SortFunc(q.entries, compare)
	q.moveLateBack(now)
}

// orderCalm sorts by priority and end of objective.
func (q *Queue) orderCalm() {
	slices.SortFunc(q.entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.ObjectiveEnd.Compare(b.ObjectiveEnd), cmp.Compare(a.sequence, b.sequence))
	})
	ahead := time.Duration(0)
	for i, e := range q.entries {
		e.late, e.position, e.ahead = false, i, ahead
		ahead += e.Work
	}
}

// compare orders entries during a shortage. Late ones come after all others, since they have a tenth of their value.
// Then classes that are served too seldom come first, then priorities, then callers that have had less than their share,
// then the end of the objective.
func compare(a, b *Entry) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		compareBool(b.starved, a.starved),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.share, b.share),
		a.urgency().Compare(b.urgency()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// moveLateBack moves the entries that are expected to miss their objective, because of the work ahead of them, behind
// all others: the capacity that they would take brings more to a request that can be in time.
func (q *Queue) moveLateBack(now time.Time) {
	rate := q.rate.perSecond(q.standard)
	ahead := time.Duration(0)
	for _, e := range q.entries {
		if e.late {
			break
		}
		start := now.Add(time.Duration(float64(ahead) / rate))
		if start.After(lastStart(&e.Request, e.ObjectiveEnd)) {
			e.late = true
			continue
		}
		ahead += e.Work
	}
	slices.SortStableFunc(q.entries, func(a, b *Entry) int { return compareBool(a.late, b.late) })
	ahead = 0
	for i, e := range q.entries {
		e.position, e.ahead = i, ahead
		ahead += e.Work
	}
}

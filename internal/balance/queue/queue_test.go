package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestSingleCallerIsServedAsFIFO compares with the naive twin where both must agree: one class, one
// caller, no deadlines, room for all.
func TestSingleCallerIsServedAsFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, naive := New(Config{}), &FIFO{}
		capacity := Capacity{Slots: 4}
		id := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				item := Item{ID: id, Caller: "a", Cost: time.Duration(rapid.IntRange(1, 90).Draw(t, "ms"))}
				q.Offer(start, item, capacity)
				naive.Offer(item)
			},
			"next": func(t *rapid.T) {
				got, ok := q.Next(start, capacity)
				want, also := naive.Next()
				if ok != also || got.ID != want.ID {
					t.Fatalf("got %d, %v; the naive twin says %d, %v", got.ID, ok, want.ID, also)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != naive.Len() {
					t.Fatalf("%d wait, naive twin has %d", q.Len(), naive.Len())
				}
			},
		})
	})
}

// ledger follows a queue from outside.
type ledger struct {
	q       *Queue
	now     time.Time
	waiting map[uint64]Item
	slots   Capacity
	next    uint64
}

func (l *ledger) offer(t *rapid.T) {
	l.next++
	item := Item{
		ID:       l.next,
		Caller:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller"),
		Weight:   rapid.Float64Range(0, 4).Draw(t, "weight"),
		Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Cost:     time.Duration(rapid.IntRange(0, 100).Draw(t, "cost")) * time.Millisecond,
		Deadline: l.now.Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "deadline")) * time.Millisecond),
	}
	own, evicted := l.q.Offer(l.now, item, l.slots)
	if own.Reason != None {
		return
	}
	l.waiting[item.ID] = item
	if evicted.Reason != None {
		l.leave(t, evicted.Item.ID)
	}
}

func (l *ledger) leave(t *rapid.T, id uint64) Item {
	item, ok := l.waiting[id]
	if !ok {
		t.Fatalf("%d leaves but does not wait", id)
	}
	delete(l.waiting, id)
	return item
}

func (l *ledger) serve(t *rapid.T) {
	for _, r := range l.q.Expire(l.now) {
		l.leave(t, r.Item.ID)
	}
	l.slots.Busy[Long] = rapid.IntRange(0, l.slots.Slots).Draw(t, "long busy")
	item, ok := l.q.Next(l.now, l.slots)
	if !ok {
		if l.q.LenOf(Short) > 0 || (l.q.LenOf(Long) > 0 && l.slots.Busy[Long] == 0) {
			t.Fatalf("nothing may start although %d short and %d long requests wait", l.q.LenOf(Short), l.q.LenOf(Long))
		}
		return
	}
	l.leave(t, item.ID)
	if !l.now.Before(item.Deadline) {
		t.Fatalf("%d is handed out after its deadline", item.ID)
	}
	if rapid.Bool().Draw(t, "return") {
		l.q.Requeue(item)
		l.waiting[item.ID] = item
	}
}

func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{
			q: New(Config{Limit: 10}), now: start, waiting: map[uint64]Item{},
			slots: Capacity{Slots: rapid.IntRange(1, 12).Draw(t, "slots")},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": l.offer,
			"more":  l.offer,
			"serve": l.serve,
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(0, int(l.next)).Draw(t, "id"))
				_, waits := l.waiting[id]
				if l.q.Cancel(id) != waits {
					t.Fatalf("cancel of %d disagrees", id)
				}
				delete(l.waiting, id)
			},
			"pass": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := 0
				for c := range l.q.class {
					sum += l.q.class[c].count
				}
				if l.q.Len() != len(l.waiting) || sum != len(l.waiting) || l.q.Len() > 10 {
					t.Fatalf("%d and %d wait, expected %d", l.q.Len(), sum, len(l.waiting))
				}
			},
		})
	})
}

func TestCallersShareByWeight(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	capacity := Capacity{Slots: 4}
	for id := range uint64(600) {
		item := Item{ID: id, Caller: "light", Weight: 1, Cost: time.Millisecond}
		if id%2 == 0 {
			item.Caller, item.Weight = "heavy", 3
		}
		q.Offer(start, item, capacity)
	}
	served := map[string]int{}
	for range 200 {
		item, _ := q.Next(start, capacity)
		served[item.Caller]++
	}
	is.Equal(served["heavy"], 150)
	is.Equal(served["light"], 50)
}

func TestNoisyCallerPaysForFullQueue(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 10})
	capacity := Capacity{Slots: 4}
	for id := range uint64(10) {
		q.Offer(start, Item{ID: id, Caller: "noisy"}, capacity)
	}
	own, evicted := q.Offer(start, Item{ID: 10, Caller: "quiet"}, capacity)
	is.Equal(own.Reason, None)
	is.Equal(evicted.Item.ID, uint64(9)) // the newest of the noisy caller
	own, evicted = q.Offer(start, Item{ID: 11, Caller: "noisy"}, capacity)
	is.Equal(own.Reason, FairShare)
	is.Equal(evicted.Reason, None)
}

package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestSingleCallerIsServedInArrivalOrder compares Queue with FIFO where both must agree: one class, one
// caller, no deadlines and no full queue.
func TestSingleCallerIsServedInArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, fifo := New(Config{}), &FIFO{}
		capacity := Capacity{Slots: 4}
		id := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				item := Item{ID: id, Caller: "a", Cost: time.Duration(rapid.IntRange(1, 90).Draw(t, "ms"))}
				q.Offer(start, item, capacity)
				fifo.Offer(item)
			},
			"next": func(t *rapid.T) {
				got, ok := q.Next(start, capacity)
				want, wantOK := fifo.Next()
				if ok != wantOK || got.ID != want.ID {
					t.Fatalf("Next: got %d, %v; FIFO returns %d, %v", got.ID, ok, want.ID, wantOK)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != fifo.Len() {
					t.Fatalf("%d requests wait, FIFO holds %d", q.Len(), fifo.Len())
				}
			},
		})
	})
}

// queueModel tracks which requests a Queue is expected to hold.
type queueModel struct {
	q        *Queue
	now      time.Time
	waiting  map[uint64]Item
	capacity Capacity
	lastID   uint64
}

func (m *queueModel) offer(t *rapid.T) {
	m.lastID++
	item := Item{
		ID:       m.lastID,
		Caller:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller"),
		Weight:   rapid.Float64Range(0, 4).Draw(t, "weight"),
		Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Cost:     time.Duration(rapid.IntRange(0, 100).Draw(t, "cost")) * time.Millisecond,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "deadline")) * time.Millisecond),
	}
	own, evicted := m.q.Offer(m.now, item, m.capacity)
	if own.Reason != None {
		return
	}
	m.waiting[item.ID] = item
	if evicted.Reason != None {
		m.removeWaiting(t, evicted.Item.ID)
	}
}

func (m *queueModel) removeWaiting(t *rapid.T, id uint64) Item {
	item, ok := m.waiting[id]
	if !ok {
		t.Fatalf("request %d left the queue but was not waiting", id)
	}
	delete(m.waiting, id)
	return item
}

func (m *queueModel) serve(t *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		m.removeWaiting(t, r.Item.ID)
	}
	m.capacity.Busy[Long] = rapid.IntRange(0, m.capacity.Slots).Draw(t, "long busy")
	item, ok := m.q.Next(m.now, m.capacity)
	if !ok {
		if m.q.LenOf(Short) > 0 || (m.q.LenOf(Long) > 0 && m.capacity.Busy[Long] == 0) {
			t.Fatalf("no request may start while %d short and %d long requests wait", m.q.LenOf(Short), m.q.LenOf(Long))
		}
		return
	}
	m.removeWaiting(t, item.ID)
	if !m.now.Before(item.Deadline) {
		t.Fatalf("request %d got a slot after its deadline", item.ID)
	}
	if rapid.Bool().Draw(t, "requeue") {
		m.q.Requeue(item)
		m.waiting[item.ID] = item
	}
}

func TestEveryRequestLeavesQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			q: New(Config{Limit: 10}), now: start, waiting: map[uint64]Item{},
			capacity: Capacity{Slots: rapid.IntRange(1, 12).Draw(t, "slots")},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer, // offers are drawn twice as often
			"serve":  m.serve,
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(0, int(m.lastID)).Draw(t, "id"))
				_, want := m.waiting[id]
				if m.q.Cancel(id) != want {
					t.Fatalf("Cancel(%d) did not report whether the request was waiting", id)
				}
				delete(m.waiting, id)
			},
			"advance time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := 0
				for c := range m.q.byClass {
					sum += m.q.byClass[c].count
				}
				if m.q.Len() != len(m.waiting) || sum != len(m.waiting) || m.q.Len() > 10 {
					t.Fatalf("Len returns %d, the classes hold %d, want %d and at most 10", m.q.Len(), sum, len(m.waiting))
				}
			},
		})
	})
}

func TestCallersAreServedByWeight(t *testing.T) {
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

func TestFullQueueEvictsCallerWithMostWaitingWork(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 10})
	capacity := Capacity{Slots: 4}
	for id := range uint64(10) {
		q.Offer(start, Item{ID: id, Caller: "noisy"}, capacity)
	}
	own, evicted := q.Offer(start, Item{ID: 10, Caller: "quiet"}, capacity)
	is.Equal(own.Reason, None)
	is.Equal(evicted.Item.ID, uint64(9)) // the newest request of the noisy caller
	own, evicted = q.Offer(start, Item{ID: 11, Caller: "noisy"}, capacity)
	is.Equal(own.Reason, FairShare)
	is.Equal(evicted.Reason, None)
}

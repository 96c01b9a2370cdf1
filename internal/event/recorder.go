package event

import (
	"sync"

	"github.com/go-logr/logr"
)

// Recorder keeps the newest events of one process in a ring of fixed size and logs them.
// It is safe for concurrent use. Its lock is a leaf: nothing is called while it is held.
type Recorder struct {
	host        string
	incarnation uint64
	hybrid      *HybridClock
	log         logr.Logger

	mu   sync.Mutex
	ring []Event
	next uint64 // count of events ever recorded
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Host is the id of the recording host.
	Host string
	// Incarnation tells restarts of the host apart.
	Incarnation uint64
	// Size is the number of events kept. Default 16384.
	Size int
	// Clock issues the stamps.
	Clock *HybridClock
	// Log prints events of severity Info and above, and Debug ones at verbosity 1.
	Log logr.Logger
}

const defaultRingSize = 16384

// NewRecorder returns an empty recorder.
func NewRecorder(cfg RecorderConfig) *Recorder {
	if cfg.Size <= 0 {
		cfg.Size = defaultRingSize
	}
	return &Recorder{
		host:        cfg.Host,
		incarnation: cfg.Incarnation,
		hybrid:      cfg.Clock,
		log:         cfg.Log,
		ring:        make([]Event, cfg.Size),
	}
}

// Clock returns the hybrid clock that stamps the events.
func (r *Recorder) Clock() *HybridClock { return r.hybrid }

// Record stores an event and logs it when its severity is Info or above. Debug events are stored only.
func (r *Recorder) Record(id ID, f Fields) {
	r.store(id, f)
	kind := catalogue[id]
	if kind.Severity == Debug {
		return
	}
	r.print(kind, f, nil)
}

// RecordError stores an event with err as its detail and logs it.
func (r *Recorder) RecordError(id ID, f Fields, err error) {
	if err != nil && f.Detail == "" {
		f.Detail = err.Error()
	}
	r.store(id, f)
	r.print(catalogue[id], f, err)
}

func (r *Recorder) store(id ID, f Fields) {
	stamp := r.hybrid.Next()
	r.mu.Lock()
	slot := &r.ring[r.next%uint64(len(r.ring))]
	r.next++
	*slot = Event{
		Stamp:       stamp,
		Seq:         r.next,
		Host:        r.host,
		Incarnation: r.incarnation,
		ID:          id,
		Fields:      f,
	}
	r.mu.Unlock()
}

func (r *Recorder) print(kind Kind, f Fields, err error) {
	pairs := fieldPairs(f)
	if kind.Severity == Error {
		r.log.Error(err, kind.ID.String()+" "+kind.Text, pairs...)
		return
	}
	verbosity := 0
	if kind.Severity == Debug {
		verbosity = 1
	}
	r.log.V(verbosity).Info(kind.ID.String()+" "+kind.Text, pairs...)
}

func fieldPairs(f Fields) []any {
	var pairs []any
	add := func(key, value string) {
		if value != "" {
			pairs = append(pairs, key, value)
		}
	}
	add("request", f.Request)
	add("caller", f.Caller)
	add("service", f.Service)
	add("target", f.Target)
	add("peer", f.Peer)
	add("detail", f.Detail)
	if f.Revision != 0 {
		pairs = append(pairs, "revision", f.Revision)
	}
	return pairs
}

// Since returns the kept events with a sequence number above seq, oldest first, and the number of
// events above seq that the ring has already dropped.
func (r *Recorder) Since(seq uint64) (events []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(1)
	if size := uint64(len(r.ring)); r.next > size {
		oldest = r.next - size + 1
	}
	from := seq + 1
	if from < oldest {
		dropped = oldest - from
		from = oldest
	}
	for s := from; s <= r.next; s++ {
		events = append(events, r.ring[(s-1)%uint64(len(r.ring))])
	}
	return events, dropped
}

// LastSeq returns the sequence number of the newest event, or zero.
func (r *Recorder) LastSeq() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

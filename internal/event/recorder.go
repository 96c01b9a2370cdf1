package event

import (
	"sync"

	"github.com/go-logr/logr"
)

// Recorder stores the newest events of one process in a ring buffer of fixed size and logs them.
// It is safe for concurrent use. It acquires no other lock while it holds its own.
type Recorder struct {
	host        string
	incarnation uint64
	hybrid      *HybridClock
	log         logr.Logger

	mu      sync.Mutex
	ring    []Event
	lastSeq uint64 // sequence number of the newest event, 0 before the first
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Host is the ID of the recording host.
	Host string
	// Incarnation differs between restarts of the host.
	Incarnation uint64
	// Size is the number of events to keep. The default is 16384.
	Size int
	// Clock issues the timestamps of the events.
	Clock *HybridClock
	// Log receives the events of severity Info and above. Debug events passed to RecordError are logged at
	// verbosity 1.
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

// Clock returns the hybrid clock that issues the timestamps of the events.
func (r *Recorder) Clock() *HybridClock { return r.hybrid }

// Record stores an event and logs it if its severity is Info or above. Debug events are only stored.
func (r *Recorder) Record(id ID, f Fields) {
	r.store(id, f)
	kind := catalogue[id]
	if kind.Severity == Debug {
		return
	}
	r.logEvent(kind, f, nil)
}

// RecordError stores an event and logs it together with err. The text of err becomes the detail of the event,
// unless f has one.
func (r *Recorder) RecordError(id ID, f Fields, err error) {
	if err != nil && f.Detail == "" {
		f.Detail = err.Error()
	}
	r.store(id, f)
	r.logEvent(catalogue[id], f, err)
}

func (r *Recorder) store(id ID, f Fields) {
	stamp := r.hybrid.Next()
	r.mu.Lock()
	slot := &r.ring[r.lastSeq%uint64(len(r.ring))]
	r.lastSeq++
	*slot = Event{
		Stamp:       stamp,
		Seq:         r.lastSeq,
		Host:        r.host,
		Incarnation: r.incarnation,
		ID:          id,
		Fields:      f,
	}
	r.mu.Unlock()
}

func (r *Recorder) logEvent(kind Kind, f Fields, err error) {
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

// Since returns the stored events with a sequence number above seq, oldest first, and the number of
// events above seq that the ring buffer has overwritten.
func (r *Recorder) Since(seq uint64) (events []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(1)
	if size := uint64(len(r.ring)); r.lastSeq > size {
		oldest = r.lastSeq - size + 1
	}
	from := seq + 1
	if from < oldest {
		dropped = oldest - from
		from = oldest
	}
	for s := from; s <= r.lastSeq; s++ {
		events = append(events, r.ring[(s-1)%uint64(len(r.ring))])
	}
	return events, dropped
}

// LastSeq returns the sequence number of the newest event, or 0 if there is none.
func (r *Recorder) LastSeq() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastSeq
}

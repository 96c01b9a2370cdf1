package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

const (
	// firstWorkShare is the part of the objective that a route's work is taken for before it is known.
	firstWorkShare = 1.0 / 3
	// workGain is the weight of one answer in the estimate of the work.
	workGain = 0.05
	// workClip bounds what one answer may say, as a multiple of the estimate: a few requests take many
	// times longer than the rest.
	workClip = 3.0
	// messageKB is the size of the fields of a request and its answer, in KB.
	messageKB = 0.6
)

// works holds how long the requests of each route take on a usual server with nothing else to do. Its
// lock is a leaf.
type works struct {
	mu     sync.Mutex
	routes map[string]time.Duration
	bodies map[string]float64 // mean size of the answers' bodies, in bytes
}

func newWorks() *works {
	return &works{routes: make(map[string]time.Duration), bodies: make(map[string]float64)}
}

// keep forgets all routes but those given.
func (w *works) keep(routes []*routing.Route) {
	names := make(map[string]bool, len(routes))
	for _, r := range routes {
		names[r.Name] = true
	}
	gone := func(name string) bool { return !names[name] }
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.routes, func(name string, _ time.Duration) bool { return gone(name) })
	maps.DeleteFunc(w.bodies, func(name string, _ float64) bool { return gone(name) })
}

// kilobytes returns the expected size of a request and its answer, in KB.
func (w *works) kilobytes(r *routing.Route, requestBody int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return messageKB + (float64(requestBody)+w.bodies[r.Name])/1024
}

func (w *works) get(r *routing.Route) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.getLocked(r)
}

func (w *works) getLocked(r *routing.Route) time.Duration {
	if d, ok := w.routes[r.Name]; ok {
		return d
	}
	return time.Duration(firstWorkShare * float64(r.Objective))
}

// observe learns from an answer: expected is the time that the estimate led to.
func (w *works) observe(r *routing.Route, took, expected time.Duration, body int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if mean, known := w.bodies[r.Name]; known {
		w.bodies[r.Name] = mean + workGain*(float64(body)-mean)
	} else {
		w.bodies[r.Name] = float64(body)
	}
	w.observeTimeLocked(r, took, expected)
}

// observeTime learns from an answer that took this long at least.
func (w *works) observeTime(r *routing.Route, took, expected time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observeTimeLocked(r, took, expected)
}

func (w *works) observeTimeLocked(r *routing.Route, took, expected time.Duration) {
	old := w.getLocked(r)
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), workClip)
	w.routes[r.Name] = time.Duration(float64(old) * (1 + workGain*(ratio-1)))
}

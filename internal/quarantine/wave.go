package quarantine

import (
	"maps"
	"time"
)

// waveServers is the number of servers that go down within Limits.CorrelationWindow at which the cause can't be a
// single request: one is refused after two crashes, and may be in flight at a few more servers by then.
const waveServers = 10

// serverKey identifies a server regardless of its incarnation.
type serverKey struct{ service, name string }

// waveDetector counts the servers that went down recently. It is guarded by Tracker.mu.
type waveDetector struct {
	window time.Duration
	downAt map[serverKey]time.Time // at most waveServers entries within the window
	active bool
}

func newWaveDetector(window time.Duration) waveDetector {
	return waveDetector{window: window, downAt: map[serverKey]time.Time{}}
}

// observe records that a server went down. Further servers are not kept while the wave is established by newer
// records than the one that they would replace.
func (w *waveDetector) observe(key targetKey, at time.Time) {
	server := serverKey{key.service, key.Name}
	if known, ok := w.downAt[server]; ok {
		if at.After(known) {
			w.downAt[server] = at
		}
		return
	}
	if len(w.downAt) >= waveServers {
		oldest, oldestAt := server, at
		for s, t := range w.downAt {
			if t.Before(oldestAt) {
				oldest, oldestAt = s, t
			}
		}
		if oldest == server {
			return
		}
		delete(w.downAt, oldest)
	}
	w.downAt[server] = at
}

// update reports whether so many servers went down recently that no single request is the cause, and whether this
// has just begun.
func (w *waveDetector) update(now time.Time) (active, began bool) {
	maps.DeleteFunc(w.downAt, func(_ serverKey, at time.Time) bool { return now.Sub(at) > w.window })
	before := w.active
	w.active = len(w.downAt) >= waveServers
	return w.active, w.active && !before
}

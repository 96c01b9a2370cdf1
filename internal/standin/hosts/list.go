// Package hosts simulates the platform's list of live and leaving hosts, which lags behind changes. It
// responds in the format of Prometheus HTTP service discovery.
package hosts

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Group is one entry of the list: addresses that share labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

type version struct {
	setAt  time.Time
	groups []Group
}

// List serves the newest version of the list that is at least as old as the lag. It is safe for concurrent use.
type List struct {
	clock clock.Clock

	mu       sync.Mutex
	lag      time.Duration
	versions []version // oldest first
}

// NewList returns an empty list.
func NewList(c clock.Clock, lag time.Duration) *List {
	return &List{clock: c, lag: lag, versions: []version{{}}}
}

// Set replaces the groups. Readers see them after the lag.
func (l *List) Set(groups []Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{setAt: l.clock.Now(), groups: groups})
}

// SetLag sets the lag.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Visible returns the groups that readers currently see.
func (l *List) Visible() []Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := l.clock.Now().Add(-l.lag)
	visible := l.versions[0].groups
	for _, v := range l.versions[1:] {
		if v.setAt.After(bound) {
			break
		}
		visible = v.groups
	}
	return visible
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	groups := l.Visible()
	if groups == nil {
		groups = []Group{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups)
}

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/dedupe"
	"github.com/bilberryline/bilberryline/internal/drains"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// Host is one entry host. Create it with NewHost, then Start, then Stop.
type Host struct {
	settings     *Settings
	self         member.Member
	events       *event.Recorder
	metrics      *metrics
	source       configSource
	follower     *revision.Follower // nil without a store
	members      *member.Node
	hostList     *hostlist.Poller // nil without a host list
	peerNode     *peer.Node
	client       *backend.Client
	slots        *slots.Manager
	drains       *drains.Tracker
	deduplicator *dedupe.Deduplicator
	quarantine   *quarantine.Tracker
	prober       *prober
	front        *front.Server
	admin        *adminServer

	view       atomic.Pointer[member.View]
	serving    atomic.Bool    // the listener for callers is open and Stop has not been called
	background sync.WaitGroup // work that outlives its request
	loops      sync.WaitGroup // goroutines of startLoops
	cancel     context.CancelFunc
}

// NewHost returns a host built from valid settings. The peer listener is open, but nothing is served yet.
func NewHost(s *Settings) (*Host, error) {
	log, err := newLogger(s.LogFormat)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: s, metrics: newMetrics()}
	h.self = member.Member{
		ID:           s.ID,
		Incarnation:  member.NewIncarnation(time.Now(), newRand()),
		Region:       s.Region,
		Site:         s.Site,
		PeerAddress:  s.ListenPeer,
		AdminAddress: s.ListenAdmin,
	}
	h.events = event.NewRecorder(event.RecorderConfig{
		Host:        s.ID,
		Incarnation: h.self.Incarnation,
		Size:        s.EventRing,
		Clock:       event.NewHybridClock(clock.System{}),
		Log:         log,
	})
	if err := h.provision(); err != nil {
		return nil, err
	}
	return h, nil
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ready reports whether the platform's load balancer may route callers to this host.
func (h *Host) ready() bool { return h.serving.Load() && h.source.Current() != nil }

// isolated reports whether the host has lost contact with the majority of its region.
func (h *Host) isolated() bool {
	_, isolated := h.members.IsolatedSince()
	return isolated
}

// onView applies a new membership view.
func (h *Host) onView(v member.View) {
	h.view.Store(&v)
	h.deduplicator.UpdateView(v)
	h.quarantine.UpdateView(v)
}

// onHostList applies a new version of the platform's host list.
func (h *Host) onHostList(l *hostlist.List) {
	h.members.UpdateHosts(l)
	leaving := make(map[string]bool)
	for _, host := range l.Hosts {
		if host.Role == hostlist.RoleBackend && host.State == hostlist.StateLeaving {
			leaving[host.Address] = true
		}
	}
	snap := h.source.Current()
	if snap == nil || len(leaving) == 0 {
		return
	}
	for _, svc := range snap.Services {
		for _, t := range svc.Targets {
			if leaving[t.Address] {
				h.drains.MarkDraining(t.Service, t.Name, "the host list says so")
			}
		}
	}
}

// applyConfiguration updates the connection limits and the slot groups to the configuration in force.
func (h *Host) applyConfiguration() {
	snap := h.source.Current()
	if snap == nil {
		return
	}
	for _, svc := range snap.Services {
		for _, t := range svc.Targets {
			h.client.SetLimit(t.Address, h.connectionShare(t))
		}
	}
	h.slots.Refresh()
}

// connectionShare returns the number of connections that this host may open to a target; 0 means no limit.
// The target's limit is divided by MaxEntryHosts and not by the number of known members, so that all entry
// hosts together stay within it even when their membership views differ. Every host gets at least one
// connection, so a limit below MaxEntryHosts can be exceeded.
func (h *Host) connectionShare(t *config.Target) int {
	if t.MaxConnections <= 0 {
		return 0
	}
	return max(1, t.MaxConnections/h.settings.MaxEntryHosts)
}

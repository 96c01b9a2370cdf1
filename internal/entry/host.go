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
	serving    atomic.Bool // the listener for callers is open and no stop has begun
	background sync.WaitGroup
	loops      sync.WaitGroup
	cancel     context.CancelFunc
}

// NewHost builds a host from checked settings. Nothing is served yet, but the peer listener is open.
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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ready tells whether the platform's balancer may send callers to this host.
func (h *Host) ready() bool { return h.serving.Load() && h.source.Current() != nil }

// isolated tells whether the host is cut off from the majority of its region.
func (h *Host) isolated() bool {
	_, isolated := h.members.IsolatedSince()
	return isolated
}

// onView takes over a new membership view.
func (h *Host) onView(v member.View) {
	h.view.Store(&v)
	h.deduplicator.UpdateView(v)
	h.quarantine.UpdateView(v)
}

// onHostList takes over the platform's host list.
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

// applyConfiguration brings the parts that depend on the configuration up to date.
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

// connectionShare is the number of connections that this host may open to a target, so that all entry
// hosts together stay within the target's limit whatever they know of each other.
func (h *Host) connectionShare(t *config.Target) int {
	if t.MaxConnections <= 0 {
		return 0
	}
	return max(1, t.MaxConnections/h.settings.MaxEntryHosts)
}

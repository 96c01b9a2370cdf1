package entry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/dedupe"
	"github.com/bilberryline/bilberryline/internal/drains"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/slots"
	"github.com/bilberryline/bilberryline/internal/store"
)

// provision builds all components in dependency order.
func (h *Host) provision() error {
	steps := []func() error{
		h.provisionPeers,
		h.provisionConfiguration,
		h.provisionSharedState,
		h.provisionRequestPath,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// provisionPeers builds the peer transport between entry hosts and the membership.
func (h *Host) provisionPeers() error {
	s := h.settings
	peers, err := staticPeers(s.Peers)
	if err != nil {
		return err
	}
	h.peerNode, err = peer.New(peer.Config{
		Self:        s.ID,
		Incarnation: h.self.Incarnation,
		Listen:      s.ListenPeer,
		Resolve:     func(host string) (string, bool) { return h.members.Resolve(host) },
		HybridClock: h.events.Clock(),
		Events:      h.events,
	})
	if err != nil {
		return err
	}
	h.members = member.New(member.Config{
		Self:   h.self,
		Peers:  h.peerNode,
		Clock:  clock.System{},
		Rand:   newRand(),
		Events: h.events,
	})
	h.peerNode.Handle(member.Method, h.members.Handle)
	if s.HostsURL == "" {
		h.members.UpdateHosts(staticHosts(h.self, peers))
	} else {
		h.hostList = hostlist.New(hostlist.Config{URL: s.HostsURL, Clock: clock.System{}, Events: h.events})
		h.hostList.Subscribe(h.onHostList)
	}
	view := h.members.View()
	h.view.Store(&view)
	return nil
}

// provisionConfiguration builds the configuration source: either files, or the store and the peers.
func (h *Host) provisionConfiguration() error {
	s := h.settings
	if s.StoreURL == "" {
		snap, err := config.LoadFiles(s.ConfigFile, s.OverlayFile)
		if err != nil {
			return err
		}
		h.source = newStaticSource(snap)
		return nil
	}
	h.follower = revision.NewFollower(revision.FollowerConfig{
		Self:   s.ID,
		Region: s.Region,
		Site:   s.Site,
		KV:     store.NewConsul(store.Config{Address: s.StoreURL}),
		Peers:  h.peerNode,
		View:   h.members.View,
		Clock:  clock.System{},
		Rand:   newRand(),
		Events: h.events,
	})
	h.source = h.follower
	h.peerNode.Handle(revision.Method, h.follower.Handle)
	return nil
}

// provisionSharedState builds the components whose state the entry hosts share: draining targets,
// idempotency keys, quarantined requests and slots.
func (h *Host) provisionSharedState() error {
	h.drains = drains.NewTracker(drains.Config{
		Peers:    h.peerNode,
		View:     h.view.Load,
		Events:   h.events,
		Clock:    clock.System{},
		OnChange: func() { h.slots.Refresh() },
	})
	h.peerNode.Handle(drains.Method, h.drains.Handle)
	h.deduplicator = dedupe.New(dedupe.Config{
		Self:       dedupe.Host{ID: h.self.ID, Incarnation: h.self.Incarnation, Site: h.self.Site},
		Region:     h.self.Region,
		MinHolders: h.minHolders(),
		Clock:      clock.System{},
		Peers:      h.peerNode,
		Isolated:   h.isolated,
		Events:     h.events,
		Timing:     dedupe.Timing{ColdHold: h.keyColdHold()},
	})
	h.peerNode.Handle(dedupe.Method, h.deduplicator.Handle)
	h.quarantine = quarantine.NewTracker(quarantine.Config{
		Self:   h.self.ID,
		Clock:  clock.System{},
		Peers:  h.peerNode,
		Events: h.events,
		Rand:   newRand(),
	})
	h.peerNode.Handle(quarantine.Method, h.quarantine.Handle)
	h.slots = slots.NewManager(slots.Config{
		Self:               h.self.ID,
		Peers:              h.peerNode,
		View:               h.view.Load,
		Snapshot:           h.source.Current,
		Draining:           h.drains.Draining,
		ReportReachability: h.members.ReportReachability,
	})
	h.peerNode.Handle(slots.MethodAcquire, h.slots.HandleAcquire)
	h.peerNode.Handle(slots.MethodFills, h.slots.HandleFills)
	return nil
}

// minHolders returns the number of hosts that must record an idempotency key. It is 1 for a host that has
// neither a host list nor peers: such a host runs alone and is the only holder.
func (h *Host) minHolders() int {
	if h.settings.HostsURL == "" && len(h.settings.Peers) == 0 {
		return 1
	}
	return h.settings.KeyHolders
}

// keyColdHold returns how long idempotency keys are refused after all hosts of the region have restarted.
// It is zero if a single holder suffices, because such a holder loses its keys at every stop anyway.
func (h *Host) keyColdHold() time.Duration {
	if h.minHolders() < 2 {
		return 0
	}
	return h.settings.KeyColdHold
}

// provisionRequestPath builds the components that handle requests and the administration listener.
func (h *Host) provisionRequestPath() error {
	s := h.settings
	h.client = backend.New(backend.Config{MaxResponseBytes: s.MaxBodyBytes})
	h.prober = newProber(h)
	h.front = front.New(front.Config{
		Address:          s.Listen,
		Handler:          h.newHandler(),
		MaxConnections:   s.MaxConnections,
		MaxBodyBytes:     s.MaxBodyBytes,
		MaxBufferedBytes: s.MaxBufferedBytes,
	})
	h.front.OnRefuse(h.onRefuse)
	h.front.OnPanic(h.onPanic)
	h.admin = newAdminServer(h)
	h.registerGauges()
	return nil
}

func (h *Host) newHandler() *handler {
	return &handler{
		settings:      h.settings,
		events:        h.events,
		metrics:       h.metrics,
		client:        h.client,
		slots:         h.slots,
		source:        h.source,
		drains:        h.drains,
		latency:       newLatencyTable(),
		budgets:       newBudgetTable(),
		selectors:     newSelectorTable(h.settings, h.slots),
		deduplicator:  h.deduplicator,
		crashDetector: quarantine.NewCrashDetector(h.quarantine, &h.background),
		background:    &h.background,
	}
}

func (h *Host) registerGauges() {
	h.metrics.registry.MustRegister(h.peerNode)
	h.metrics.registerGauge("requests_in_flight", "Requests of callers in flight.", func() float64 { return float64(h.front.Active()) })
	h.metrics.registerGauge("members", "Entry hosts known, this one included.", func() float64 { return float64(len(h.view.Load().Members)) })
	h.metrics.registerGauge("isolated", "1 when the host is cut off from the majority of its region.", func() float64 {
		if h.isolated() {
			return 1
		}
		return 0
	})
	h.metrics.registerGauge("idempotency_keys", "Idempotency keys recorded on this host.", func() float64 { return float64(h.deduplicator.Stats().Records) })
	h.metrics.registerGauge("configuration_revision", "Revision of the configuration in force.", func() float64 {
		snap := h.source.Current()
		if snap == nil {
			return 0
		}
		return float64(snap.Revision)
	})
}

package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// Peer methods: Registry.HandleFollow serves MethodFollow, Registry.HandleStatus serves MethodStatus.
const (
	MethodFollow peer.Method = "registry"
	MethodStatus peer.Method = "registry-status"
)

// Config configures a Registry.
type Config struct {
	// Self is the record of the local host.
	Self   Host
	Store  Store
	Peers  peer.Caller
	Events *event.Recorder
	Clock  clock.Clock
	// Compile compiles a configuration document to a routing table.
	Compile func(document []byte) (*routing.Table, error)
	// PropagationLimit is the time within which all hosts must know a change of the store. Default 2 s.
	PropagationLimit time.Duration
	// TargetHeartbeat is the interval at which targets renew their entries. Default 1.5 s.
	TargetHeartbeat time.Duration
	// ReregistrationLimit is the time within which targets register again after an outage of the store. Default 2 s.
	ReregistrationLimit time.Duration
	// OnChange is called with each new view, one call at a time. It may be nil.
	OnChange func(*View)
}

// Registry is one host's copy of the store's records. It is safe for concurrent use.
type Registry struct {
	cfg    Config
	timing timing
	view   atomic.Pointer[View]

	mu            sync.Mutex
	targets       map[string]*targetRecord
	hosts         map[string]*hostRecord
	evacuations   map[string]*evacuationRecord // by data centre
	configuration Configuration
	routes        *routing.Table
	// documentInForce is the document of routes. The store's latest configuration may be one that doesn't compile.
	documentInForce []byte
	// configurationProto is the configuration as sent to followers, or nil when there is none. packed caches
	// the targets and hosts in that form.
	configurationProto *registrypb.Configuration
	packed             packedRecords
	packedChanges      packedChanges
	// sequence is the number of the latest local change, configurationSequence that of the latest change
	// of the configuration.
	sequence              uint64
	configurationSequence uint64
	freshness             Freshness
	era                   uint64    // newest era of the store that was seen; older ones are not accepted
	eraStart              Revision  // position of the batch that began the era here; the records up to it may be of the copy
	eraChanges            uint64    // number of times that the state moved to a newer era
	evacuationsPosition   Revision  // store revision up to which all changes of evacuations are known
	historyStart          Revision  // every later change is known, removals included; earlier removals may be missing
	retainUntil           time.Time // removals that the store reports before this time are retained until then
	subscribers           map[*subscriber]struct{}
	oddReported           map[string]Revision // revisions at which odd entries were reported, by key
	cooldowns             map[string]cooldown // of hosts that are skipped as sources, by id
	lease                 Lease
	learned               map[string]string    // addresses of hosts to which others have passed this host on, by id
	noRedirect            map[string]time.Time // hosts that are to serve this one themselves, until the given time
	failingSince          map[string]time.Time // when queries of a relay began to fail
	hostsChanged          chan struct{}        // closed and replaced when the host list changes

	tookOver     bool // the record of an earlier process, so that the list of hosts is that of a running deployment
	storeLatency storeLatency
	lifetime     context.Context // ends when Run returns
	endLifetime  context.CancelFunc

	publishMu sync.Mutex // orders the calls of OnChange
}

// New returns an empty registry. Run fills it.
func New(cfg Config) *Registry {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	r := &Registry{
		cfg: cfg,
		timing: newTiming(orDefault(cfg.PropagationLimit, defaultPropagationLimit),
			orDefault(cfg.TargetHeartbeat, defaultTargetHeartbeat), orDefault(cfg.ReregistrationLimit, defaultReregistrationLimit)),
		targets:      make(map[string]*targetRecord),
		hosts:        make(map[string]*hostRecord),
		evacuations:  make(map[string]*evacuationRecord),
		subscribers:  make(map[*subscriber]struct{}),
		oddReported:  make(map[string]Revision),
		cooldowns:    make(map[string]cooldown),
		learned:      make(map[string]string),
		noRedirect:   make(map[string]time.Time),
		failingSince: make(map[string]time.Time),
		hostsChanged: make(chan struct{}),
	}
	r.lifetime, r.endLifetime = context.WithCancel(context.Background())
	r.view.Store(&View{Targets: map[string][]*Target{}, Hosts: map[string]Host{}})
	return r
}

// View returns the current snapshot.
func (r *Registry) View() *View { return r.view.Load() }

// Freshness returns how current the registry is.
func (r *Registry) Freshness() Freshness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshness
}

// Address returns the peer address of a host that is registered or was until recently. Recently removed
// hosts are included because the store may remove the records of hosts that it refuses.
func (r *Registry) Address(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[id]; ok {
		return h.Address, true
	}
	address, ok := r.learned[id]
	return address, ok
}

// Values of DistanceTo.
const (
	distanceSite    = "site"
	distanceRegion  = "region"
	distanceOther   = "other"
	distanceUnknown = "unknown"
)

// DistanceTo returns how far away another host is: in the same data centre, in another one of the region, or in another
// region.
func (r *Registry) DistanceTo(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hosts[id]
	switch {
	case !ok:
		return distanceUnknown
	case h.Site == r.cfg.Self.Site:
		return distanceSite
	case h.Region == r.cfg.Self.Region:
		return distanceRegion
	}
	return distanceOther
}

// Run registers the host in the store and keeps the registry current until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	defer r.endLifetime()
	r.takeOverRecord(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { r.runRegistrar(ctx) })
	loops.Go(func() { r.runCleanup(ctx) })
	r.runSource(ctx)
	loops.Wait()
}

package quota

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Method is the peer method that Service.Handle serves.
const Method peer.Method = "quota"

// Config configures a Service.
type Config struct {
	// Self is the id of the host and Site its data centre.
	Self, Site string
	// Sites is the number of data centres by the host's settings. It is used while the view may be outdated.
	Sites   int
	Bounds  Bounds
	Clock   clock.Clock
	Peers   peer.Caller
	Events  *event.Recorder
	Metrics *Metrics
	// ConfirmedAt returns when the store last confirmed the view, and Stale is the age from which it may be outdated.
	ConfirmedAt func() time.Time
	Stale       time.Duration
}

// View is what a Service needs to know of the registry. It is immutable.
type View struct {
	// Members are the registered hosts.
	Members []Member
	// Active reports whether any workspace has a quota.
	Active bool
	// Limit returns the quota of a workspace, or false if it has none. It is called for each request.
	Limit func(workspace string) (Quota, bool)
}

// Service charges requests to their workspaces. It holds the tokens of the host and, while the host is its data centre's
// coordinator, those of the data centre. It is safe for concurrent use. No lock is held while it exchanges messages.
type Service struct {
	cfg   Config
	epoch uint64 // identifies this start of the host
	start time.Time

	mu         sync.Mutex
	running    bool // the loop runs
	ctx        context.Context
	background sync.WaitGroup
	stopped    bool // nothing new may start
	view       View
	fleet      *fleet
	suspension suspension
	// suspensions counts the suspensions of the host.
	suspensions int

	limiter     *Limiter
	waiting     map[string]int    // requests that have no token yet, by workspace
	fetches     map[string]*fetch // by workspace
	coordinator *Coordinator
	ballot      *Ballot

	preferred    string // coordinator that answered last
	electedUntil time.Time
	idleSince    time.Time // since when the data centre has had no coordinator before this one
	claiming     bool
	campaign     campaign
	claimAfter   time.Time
	older        olderHosts
	askedAt      time.Time // when a host, or this one itself, last asked this one for tokens
	contactAt    time.Time // when another data centre was last heard from

	pulling     map[string]bool     // data centres that are being asked for tokens
	outstanding map[string]float64  // tokens that are being asked for, by workspace
	deferred    map[string]struct{} // workspaces for which a data centre will be asked that is being asked for others
	changed     chan struct{}       // closed when an answer has arrived
	exceededAt  map[string]time.Time
}

// New returns a Service that does nothing until Update is called with an active View.
func New(cfg Config) *Service {
	now := cfg.Clock.Now()
	s := &Service{
		cfg: cfg, epoch: uint64(now.UnixNano()), start: now, ctx: context.Background(),
		fleet:   newFleet(),
		limiter: NewLimiter(cfg.Bounds), waiting: make(map[string]int), fetches: make(map[string]*fetch),
		coordinator: NewCoordinator(cfg.Bounds), ballot: NewBallot(now),
		pulling: make(map[string]bool), outstanding: make(map[string]float64), deferred: make(map[string]struct{}), changed: make(chan struct{}),
		exceededAt: make(map[string]time.Time),
	}
	return s
}

// Start allows the Service to exchange messages until ctx ends. Call it before the first Update.
func (s *Service) Start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	s.startLoopLocked()
}

// startTime is the time after its start in which a host expects that its data centre may have no coordinator.
const startTime = 2 * VoteLifetime

// Starting reports whether the host has just started. Other hosts may have started with it, so that coordinators are elected
// and their buckets are filled at first.
func (s *Service) Starting() bool { return s.cfg.Clock.Now().Sub(s.start) < startTime }

// Wait waits until everything has ended that the Service started. The context of Start must have ended. The Service starts
// nothing afterwards.
func (s *Service) Wait() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.background.Wait()
}

// goLocked runs f in the background. It returns false if the Service has stopped.
func (s *Service) goLocked(f func()) bool {
	if s.stopped {
		return false
	}
	s.background.Go(f)
	return true
}

// Update applies a new view. A Service whose view is not active keeps no state and sends nothing.
func (s *Service) Update(v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if !v.Active {
		if s.view.Active {
			s.limiter, s.coordinator = NewLimiter(s.cfg.Bounds), NewCoordinator(s.cfg.Bounds)
			s.electedUntil = time.Time{}
		}
		s.view = View{}
		return
	}
	s.view = v
	wasFirst := s.fleet.first(s.cfg.Site, s.cfg.Self)
	s.fleet.update(v.Members, now)
	if wasFirst && !s.fleet.first(s.cfg.Site, s.cfg.Self) {
		s.resignLocked()
	}
	s.refreshShareLocked(now)
	s.startLoopLocked()
}

// enabledLocked reports whether quotas are enforced for any workspace.
func (s *Service) enabledLocked() bool { return s.cfg.Bounds.Window > 0 && s.view.Active }

// nowLocked returns the time. After a suspension it first drops everything that may have expired meanwhile.
func (s *Service) nowLocked() time.Time {
	now := s.cfg.Clock.Now()
	if s.suspension.check(now) {
		s.limiter.Drop()
		s.coordinator.DropGifts()
		s.coordinator.SetShare(0, now)
		s.electedUntil = time.Time{}
		s.campaign = campaign{}
		s.suspensions++
		s.ballot = NewBallot(now)
		s.cfg.Events.Record(event.QuotaSuspended, event.Fields{})
	}
	return now
}

// limitLocked returns the quota of a workspace by this host's configuration.
func (s *Service) limitLocked(workspace string) (Quota, bool) {
	if !s.view.Active {
		return Quota{}, false
	}
	q, ok := s.view.Limit(workspace)
	return q, ok && q.Rate > 0
}

// refreshShareLocked assigns the share of this data centre to the coordinator. A host without a majority of votes has none.
// A data centre that is cut off from the others and from the store may have been deregistered, so that the others already
// use its share.
func (s *Service) refreshShareLocked(now time.Time) {
	share := 0.0
	if now.Before(s.electedUntil) {
		sites, outdated := s.fleet.sites(now), now.Sub(s.cfg.ConfirmedAt()) > s.cfg.Stale
		if outdated {
			sites = max(sites, s.cfg.Sites)
		}
		share = 1 / float64(sites)
		if sites > 1 && outdated && now.Sub(s.contactAt) > s.cfg.Stale {
			share = min(share, isolatedShareOfExcess*s.cfg.Bounds.Excess)
		}
	}
	if s.coordinator.Share() == 0 && share > 0 {
		s.coordinator.Begin(share, s.idleSince, now)
		s.idleSince = time.Time{}
		return
	}
	s.coordinator.SetShare(share, now)
}

// wakeLocked wakes the requests that wait for tokens from other data centres or for an election.
func (s *Service) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

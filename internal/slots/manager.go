package slots

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// Peer methods that Manager.HandleAcquire and Manager.HandleFills serve.
const (
	MethodAcquire peer.Method = "slots.acquire"
	MethodFills   peer.Method = "slots.fills"
)

// Config configures a Manager.
type Config struct {
	// Self is the id of the local host.
	Self string
	// Peers opens streams to other entry hosts.
	Peers peer.Caller
	// View returns the current membership.
	View func() *member.View
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Draining reports whether a target is draining.
	Draining func(target string) bool
	// ReportReachability is called with the outcome of a call to a host: whether it answered. It may be nil.
	ReportReachability func(host string, ok bool)
}

// Manager runs the slot groups that the local host owns and acquires slots from the owners of other groups. It is
// safe for concurrent use.
//
// Lock order: Manager.mu before group.mu.
type Manager struct {
	cfg       Config
	wake      chan struct{} // makes Run tick at once
	fills     *fillTable
	owners    *ownerCache
	direct    *directTable
	contended *contendedServices

	mu     sync.Mutex
	groups map[Key]*group
}

// NewManager returns a Manager without groups. Run must be running for waiting requests to be granted or refused in
// time.
func NewManager(cfg Config) *Manager {
	if cfg.ReportReachability == nil {
		cfg.ReportReachability = func(string, bool) {}
	}
	return &Manager{
		cfg:       cfg,
		wake:      make(chan struct{}, 1),
		fills:     newFillTable(),
		owners:    newOwnerCache(),
		direct:    newDirectTable(),
		contended: newContendedServices(),
		groups:    make(map[Key]*group),
	}
}

// Bounds of the time between two ticks.
const (
	minTickDelay = 200 * time.Microsecond
	maxTickDelay = time.Second
)

// Run ticks the local groups and polls the fill of other groups until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollFills(ctx) })
	defer wg.Wait()
	timer := time.NewTimer(maxTickDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		timer.Reset(m.tick(time.Now()))
	}
}

// tick ticks all local groups and returns the time until the next tick.
func (m *Manager) tick(now time.Time) time.Duration {
	next := maxTickDelay
	for _, g := range m.localGroups() {
		next = min(next, g.tick(now))
	}
	return max(next, minTickDelay)
}

// localGroups returns the groups that the local host owns or has owned.
func (m *Manager) localGroups() []*group {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		groups = append(groups, g)
	}
	return groups
}

// Acquire waits for a slot of the group. It fails with a *RefusedError, an *OwnerLostError or the context's cause.
// In each case nothing was sent to a target.
func (m *Manager) Acquire(ctx context.Context, key Key, r slot.Request) (Lease, error) {
	start := time.Now()
	lease, err := m.acquireFrom(ctx, m.Owner(key), key, r)
	m.contended.record(key.Service, time.Since(start), err)
	return lease, err
}

func (m *Manager) acquireFrom(ctx context.Context, owner string, key Key, r slot.Request) (Lease, error) {
	if owner == m.cfg.Self {
		return m.acquireLocal(ctx, key, r)
	}
	return m.acquireRemote(ctx, owner, key, r)
}

func (m *Manager) acquireLocal(ctx context.Context, key Key, r slot.Request) (Lease, error) {
	g := m.group(key)
	if g == nil {
		return nil, &RefusedError{Key: key, Reason: slot.NoTarget}
	}
	held, err := g.acquire(ctx, time.Now(), r)
	if err != nil {
		return nil, err
	}
	return &localLease{group: g, grant: held}, nil
}

// group returns the local group for key. It creates the group from the configuration if necessary, and returns nil
// if the configuration has no such targets.
func (m *Manager) group(key Key) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.groups[key]; g != nil {
		return g
	}
	svc := m.snapshot().Services[key.Service]
	if svc == nil {
		return nil
	}
	targets := targetsAt(svc, key.Site)
	if len(targets) == 0 {
		return nil
	}
	g := newGroup(key, svc, rand.Uint64(), m.wake)
	g.setTargets(time.Now(), targets, m.cfg.Draining)
	m.groups[key] = g
	return g
}

func targetsAt(svc *config.Service, site string) []*config.Target {
	var targets []*config.Target
	for _, t := range svc.Targets {
		if t.Site == site {
			targets = append(targets, t)
		}
	}
	return targets
}

// snapshot returns the configuration in force, or an empty one if there is none yet.
func (m *Manager) snapshot() *config.Snapshot {
	if snap := m.cfg.Snapshot(); snap != nil {
		return snap
	}
	return &config.Snapshot{}
}

// Refresh applies the configuration in force and the draining targets to the local groups.
func (m *Manager) Refresh() {
	snap := m.snapshot()
	for _, g := range m.localGroups() {
		var targets []*config.Target
		if svc := snap.Services[g.key.Service]; svc != nil {
			targets = targetsAt(svc, g.key.Site)
		}
		g.setTargets(time.Now(), targets, m.cfg.Draining)
	}
}

// Status returns the status of the targets of all local groups.
func (m *Manager) Status() map[Key][]slot.TargetStatus {
	out := make(map[Key][]slot.TargetStatus)
	for _, g := range m.localGroups() {
		out[g.key] = g.status()
	}
	return out
}

// HandleAcquire serves one stream of MethodAcquire. It is a peer.Handler.
func (m *Manager) HandleAcquire(ctx context.Context, s peer.Stream) {
	var req slotspb.Acquire
	if s.Recv(&req) != nil {
		return
	}
	key := Key{Service: req.GetService(), Site: req.GetSite()}
	g := m.group(key)
	if g == nil {
		_ = s.Send(&slotspb.Decision{Unable: true})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reports := receiveReport(s, cancel)
	held, err := g.acquire(ctx, time.Now(), requestFromProto(&req))
	if err != nil {
		sendRefusal(s, g, err)
		return
	}
	if s.Send(&slotspb.Decision{Granted: true, Target: held.target, Unheard: held.needsProbe, Fill: g.fillProto()}) != nil {
		g.release(time.Now(), held, slot.ReportWithoutLoad(slot.Cancelled, 0))
		return
	}
	if rep, ok := <-reports; ok {
		g.release(time.Now(), held, reportFromProto(rep))
		return
	}
	g.abandon(time.Now(), held.id)
}

// receiveReport receives the report in the background. If the stream ends without a report, it calls onLost and
// closes the channel.
func receiveReport(s peer.Stream, onLost func()) <-chan *slotspb.Report {
	ch := make(chan *slotspb.Report, 1)
	go func() {
		defer close(ch)
		var rep slotspb.Report
		if s.Recv(&rep) != nil {
			onLost()
			return
		}
		ch <- &rep
	}()
	return ch
}

// sendRefusal answers with a refusal, unless the request failed for another reason.
func sendRefusal(s peer.Stream, g *group, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	_ = s.Send(&slotspb.Decision{
		Reason:       uint32(refused.Reason),
		RetryAfterNs: int64(refused.RetryAfter),
		Fill:         g.fillProto(),
	})
	// Wait for the other side to end the exchange, so that the stream can be reused.
	_ = s.SetDeadline(time.Now().Add(time.Second))
	var end slotspb.Report
	if err := s.Recv(&end); !errors.Is(err, io.EOF) {
		return
	}
}

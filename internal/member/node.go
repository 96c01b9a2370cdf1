package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Method is the peer method of membership exchanges.
const Method peer.Method = "member"

// Config configures a Node.
type Config struct {
	// Self describes the local host. Its State is ignored. Incarnation comes from NewIncarnation.
	Self Member
	// Peers carries the exchanges.
	Peers peer.Caller
	// Clock drives the protocol. Default clock.System.
	Clock clock.Clock
	// Rand randomizes the order of probes. It must not be used elsewhere.
	Rand *rand.Rand
	// Events records membership changes.
	Events *event.Recorder
	// Timing holds the protocol's intervals.
	Timing Timing
}

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(now time.Time, rng *rand.Rand) uint64 {
	const randomBits = 16
	return uint64(now.UnixMilli())<<randomBits | uint64(rng.Uint32()>>randomBits)
}

// Node runs the membership protocol of the local host.
type Node struct {
	cfg         Config
	isolation   atomic.Pointer[isolation]
	view        atomic.Pointer[View]
	viewChanged chan struct{} // receives a value when the view may have changed

	mu          sync.Mutex // guards the fields below; not held across I/O or callbacks
	state       *stateMachine
	subscribers []func(View)
}

// New returns a node that knows only itself.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	cfg.Timing.setDefaults()
	self := &memberpb.Record{
		Id:           cfg.Self.ID,
		Incarnation:  cfg.Self.Incarnation,
		Region:       cfg.Self.Region,
		Site:         cfg.Self.Site,
		PeerAddress:  cfg.Self.PeerAddress,
		AdminAddress: cfg.Self.AdminAddress,
	}
	inner := stateMachineConfig{
		Timing: cfg.Timing,
		Region: cfg.Self.Region,
		Rand:   cfg.Rand,
		Record: cfg.Events.Record,
	}
	n := &Node{cfg: cfg, viewChanged: make(chan struct{}, 1)}
	n.state = newStateMachine(inner, self, cfg.Clock.Now())
	n.publish(cfg.Clock.Now())
	return n
}

// publish makes the isolation and the view readable without the lock. The caller holds mu, except in New.
func (n *Node) publish(now time.Time) {
	i := n.state.currentIsolation(now)
	n.isolation.Store(&i)
	if n.view.Swap(n.state.view) == n.state.view {
		return
	}
	select {
	case n.viewChanged <- struct{}{}:
	default:
	}
}

// update runs f on the state machine and publishes the result.
func (n *Node) update(f func(m *stateMachine, now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	f(n.state, now)
	if n.state.viewStale {
		n.state.refreshView(now)
	}
	n.publish(now)
}

// View returns the current view. Its members are shared between callers and must not be modified.
func (n *Node) View() View { return *n.view.Load() }

// Subscribe registers f to be called with the view after each change, from a goroutine started by Run. Changes in
// quick succession may be reported as one.
func (n *Node) Subscribe(f func(View)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

// IsolatedSince reports whether the local host is isolated, that is, in contact with less than a majority of its
// own region, and since when. Members that the host list has confirmed gone do not count. The result refers to
// the time of the call: a process that was paused reports true until it is in contact with a majority again.
// Timing explains why other hosts do not declare this host dead before it reports true.
func (n *Node) IsolatedSince() (time.Time, bool) {
	return n.isolation.Load().since(n.cfg.Clock.Now())
}

// ReportReachability reports the success or failure of an exchange with a host on the data path. A host whose
// exchange failed is probed within a period.
func (n *Node) ReportReachability(host string, ok bool) {
	if ok {
		return // a success does not say at which time the host ran
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.reportReachability(host, ok)
}

// UpdateHosts applies a new version of the platform's host list. It can be passed to hostlist.Poller.Subscribe.
func (n *Node) UpdateHosts(l *hostlist.List) {
	n.update(func(m *stateMachine, _ time.Time) { m.updateHosts(l) })
}

// Resolve returns the peer address of a host. It can be used as peer.Config.Resolve.
func (n *Node) Resolve(host string) (address string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.resolve(host)
}

// AnnounceLeaving announces that the local host is about to stop. Other hosts then give it no new work.
func (n *Node) AnnounceLeaving() {
	n.update(func(m *stateMachine, now time.Time) { m.announceLeaving(now) })
}

// AnnounceLeft announces to a few other members that the local host has left. It returns when they have answered
// or ctx ends. Run must have returned.
func (n *Node) AnnounceLeft(ctx context.Context) {
	var calls []call
	n.update(func(m *stateMachine, now time.Time) { calls = m.announceLeft(now) })
	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() { n.send(ctx, c) })
	}
	wg.Wait()
}

// Handle serves membership exchanges started by other hosts. It is the peer.Handler for Method.
func (n *Node) Handle(ctx context.Context, s peer.Stream) {
	req := &memberpb.Request{}
	if s.Recv(req) != nil {
		return
	}
	reached := req.Reach != "" && n.probeOnBehalf(ctx, req.Reach)
	var resp *memberpb.Response
	n.update(func(m *stateMachine, now time.Time) { resp = m.handleRequest(s.Remote(), req, now) })
	resp.Reached = reached
	_ = s.Send(resp)
}

// probeOnBehalf probes a host on behalf of another one.
func (n *Node) probeOnBehalf(ctx context.Context, host string) bool {
	var c call
	n.update(func(m *stateMachine, now time.Time) { c = m.newCall(host, now) })
	return n.send(ctx, c)
}

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { n.notifySubscribers(ctx) })
	for {
		var calls []call
		n.update(func(m *stateMachine, now time.Time) { calls = m.tick(now) })
		for _, c := range calls {
			wg.Go(func() { n.send(ctx, c) })
		}
		select {
		case <-ctx.Done():
			return
		case <-n.cfg.Clock.After(n.cfg.Timing.ProbeInterval):
		}
	}
}

// send performs a call, and indirect probes if it fails. It reports whether the call was answered.
func (n *Node) send(ctx context.Context, c call) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp := &memberpb.Response{}
	err := n.cfg.Peers.Call(callCtx, c.to, Method, c.request, resp)
	if err == nil {
		n.update(func(m *stateMachine, now time.Time) { m.handleResponse(c, resp, now) })
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	var relays []call
	n.update(func(m *stateMachine, now time.Time) { relays = m.handleFailure(c, now) })
	var wg sync.WaitGroup
	for _, r := range relays {
		wg.Go(func() { n.send(ctx, r) })
	}
	wg.Wait()
	return false
}

// notifySubscribers calls the subscribers when the view has changed.
func (n *Node) notifySubscribers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.viewChanged:
		}
		n.mu.Lock()
		subscribers := n.subscribers
		n.mu.Unlock()
		view := n.View()
		for _, f := range subscribers {
			f(view)
		}
	}
}

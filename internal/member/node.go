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

// Method is the method of membership exchanges between entry hosts.
const Method peer.Method = "member"

// Config configures a Node.
type Config struct {
	// Self describes the local host. Its State is ignored. Incarnation comes from NewIncarnation.
	Self Member
	// Peers carries the exchanges.
	Peers peer.Caller
	// Clock drives the protocol. Default clock.System.
	Clock clock.Clock
	// Rand orders probes. The node uses it alone.
	Rand *rand.Rand
	// Events records changes of membership.
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
	viewChanged chan struct{} // holds one token when the view may have changed

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

// publish makes the machine's beliefs readable without the lock. The caller holds mu, except in New.
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

// update runs f on the machine and publishes the result.
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

// View returns the current view. It shares its members with later callers, who must not change it.
func (n *Node) View() View { return *n.view.Load() }

// Subscribe calls f with the view after each change, from the goroutine of Run. Changes in quick
// succession may be passed on as one.
func (n *Node) Subscribe(f func(View)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

// IsolatedSince tells whether the local host hears less than a majority of the members of its own
// region, and since when. Members that the host list has confirmed gone do not count. It holds for
// the time of the call: a process that was paused reports true until it has heard a majority again.
// Timing explains why others do not declare this host dead before it reports true.
func (n *Node) IsolatedSince() (time.Time, bool) {
	return n.isolation.Load().since(n.cfg.Clock.Now())
}

// ReportReachability takes in that an exchange with a host succeeded or failed on the data path. A host that
// failed is probed within a period.
func (n *Node) ReportReachability(host string, ok bool) {
	if ok {
		return // the time at which the host ran is not known
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.reportReachability(host, ok)
}

// UpdateHosts takes in the platform's list of hosts. It fits hostlist.Poller's Subscribe.
func (n *Node) UpdateHosts(l *hostlist.List) {
	n.update(func(m *stateMachine, _ time.Time) { m.updateHosts(l) })
}

// Resolve returns the peer address of a host. It fits peer.Config.
func (n *Node) Resolve(host string) (address string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.resolve(host)
}

// AnnounceLeaving announces that the local host is about to stop. Others then give it no new work.
func (n *Node) AnnounceLeaving() {
	n.update(func(m *stateMachine, now time.Time) { m.announceLeaving(now) })
}

// AnnounceLeft tells other members that the local host is gone. It returns when they have answered or ctx
// ends. Run must have returned.
func (n *Node) AnnounceLeft(ctx context.Context) {
	var actions []call
	n.update(func(m *stateMachine, now time.Time) { actions = m.announceLeft(now) })
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() { n.send(ctx, a) })
	}
	wg.Wait()
}

// Handle serves the exchanges that other hosts begin. It is the peer.Handler of Method.
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
	var a call
	n.update(func(m *stateMachine, now time.Time) { a = m.newCall(host, now) })
	return n.send(ctx, a)
}

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { n.notifySubscribers(ctx) })
	for {
		var actions []call
		n.update(func(m *stateMachine, now time.Time) { actions = m.tick(now) })
		for _, a := range actions {
			wg.Go(func() { n.send(ctx, a) })
		}
		select {
		case <-ctx.Done():
			return
		case <-n.cfg.Clock.After(n.cfg.Timing.ProbeInterval):
		}
	}
}

// send carries out an action and tells whether it was answered.
func (n *Node) send(ctx context.Context, a call) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	resp := &memberpb.Response{}
	err := n.cfg.Peers.Call(callCtx, a.to, Method, a.request, resp)
	if err == nil {
		n.update(func(m *stateMachine, now time.Time) { m.handleResponse(a, resp, now) })
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	var relays []call
	n.update(func(m *stateMachine, now time.Time) { relays = m.handleFailure(a, now) })
	var wg sync.WaitGroup
	for _, r := range relays {
		wg.Go(func() { n.send(ctx, r) })
	}
	wg.Wait()
	return false
}

// notifySubscribers passes changed views to the subscribers.
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

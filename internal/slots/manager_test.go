package slots

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"

	"github.com/go-logr/logr"
)

const (
	testTimeout = 20 * time.Second
	testService = "s"
	testSite    = "dc1"
)

var testKey = Key{Service: testService, Site: testSite}

// testHost is a manager with a real peer node.
type testHost struct {
	manager *Manager
	node    *peer.Node
	lost    chan string // hosts reported as unreachable
	view    atomic.Pointer[member.View]
}

// startHosts starts managers on hosts a and b of one site over real peer connections.
func startHosts(t *testing.T, targetSlots int) map[string]*testHost {
	t.Helper()
	snap := testSnapshot(targetSlots)
	view := &member.View{Version: 1}
	hosts := make(map[string]*testHost)
	addresses := make(map[string]string)
	for _, id := range []string{"a", "b"} {
		hybrid := event.NewHybridClock(clock.System{})
		node, err := peer.New(peer.Config{
			Self:        id,
			Listen:      "127.0.0.1:0",
			Resolve:     func(host string) (string, bool) { address, ok := addresses[host]; return address, ok },
			HybridClock: hybrid,
			Events:      event.NewRecorder(event.RecorderConfig{Host: id, Clock: hybrid, Log: logr.Discard()}),
		})
		is.New(t).NoErr(err)
		addresses[id] = node.Addr().String()
		view.Members = append(view.Members, member.Member{ID: id, Site: testSite, Region: "r"})
		h := &testHost{node: node, lost: make(chan string, 16)}
		h.manager = NewManager(Config{
			Self:               id,
			Peers:              node,
			View:               h.view.Load,
			Snapshot:           func() *config.Snapshot { return snap },
			Draining:           func(string) bool { return false },
			ReportReachability: func(host string, ok bool) { h.lost <- host },
		})
		hosts[id] = h
	}
	for id, h := range hosts {
		h.view.Store(&member.View{Version: 1, Self: id, Members: view.Members})
		startHost(t, h)
	}
	return hosts
}

func startHost(t *testing.T, h *testHost) {
	t.Helper()
	h.node.Handle(MethodAcquire, h.manager.HandleAcquire)
	h.node.Handle(MethodFills, h.manager.HandleFills)
	h.node.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.manager.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		closeCtx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = h.node.Close(closeCtx)
	})
}

func testSnapshot(targetSlots int) *config.Snapshot {
	target := &config.Target{Name: "t1", Service: testService, Site: testSite, Region: "r", Slots: targetSlots}
	return &config.Snapshot{
		Services: map[string]*config.Service{testService: {Name: testService, Targets: []*config.Target{target}, QueueLimit: 100}},
		Regions:  map[string]*config.Region{"r": {Name: "r", Sites: []string{testSite}}},
	}
}

// ownerAndOther returns the owner of the test group first.
func ownerAndOther(hosts map[string]*testHost) (owner, other *testHost) {
	if hosts["a"].manager.Owner(testKey) == "a" {
		return hosts["a"], hosts["b"]
	}
	return hosts["b"], hosts["a"]
}

func request(d time.Duration) slot.Request {
	return slot.Request{Caller: "c", Route: "r", Deadline: time.Now().Add(d)}
}

func acquire(t *testing.T, h *testHost, d time.Duration) (Lease, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return h.manager.Acquire(ctx, testKey, request(d))
}

func TestHostsShareTheSlotCount(t *testing.T) {
	is := is.New(t)
	owner, other := ownerAndOther(startHosts(t, 1))
	first, err := acquire(t, other, testTimeout)
	is.NoErr(err)
	is.Equal(first.Target(), "t1")
	granted := make(chan Lease, 1)
	go func() {
		lease, err := acquire(t, owner, testTimeout)
		if err == nil {
			granted <- lease
		}
	}()
	select {
	case <-granted:
		t.Fatal("two leases on one slot")
	case <-time.After(100 * time.Millisecond):
	}
	first.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
	select {
	case lease := <-granted:
		lease.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
	case <-time.After(testTimeout):
		t.Fatal("the waiting request got no slot")
	}
}

func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	_, other := ownerAndOther(startHosts(t, 1))
	held, err := acquire(t, other, testTimeout)
	is.NoErr(err)
	defer held.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
	_, err = acquire(t, other, 50*time.Millisecond)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
}

func TestCancelledWaitLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	owner, other := ownerAndOther(startHosts(t, 1))
	held, err := acquire(t, owner, testTimeout)
	is.NoErr(err)
	ctx, cancel := context.WithCancelCause(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := other.manager.Acquire(ctx, testKey, request(testTimeout))
		failed <- err
	}()
	eventually(t, func() bool { f, _ := owner.manager.Fill(testKey); return f.Waiting == 1 })
	cause := &OwnerLostError{}
	cancel(cause)
	is.True(errors.Is(<-failed, cause))
	eventually(t, func() bool { f, _ := owner.manager.Fill(testKey); return f.Waiting == 0 })
	held.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
	eventually(t, func() bool { f, _ := owner.manager.Fill(testKey); return f.Busy == 0 })
}

func TestLostOwnerIsReportedAndReplaced(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 1)
	owner, other := ownerAndOther(hosts)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.NoErr(owner.node.Close(ctx))
	_, err := acquire(t, other, testTimeout)
	var lost *OwnerLostError
	is.True(errors.As(err, &lost))
	select {
	case <-other.lost:
	case <-time.After(testTimeout):
		t.Fatal("the lost owner was not reported as unreachable")
	}
	svc := testSnapshot(1).Services[testService]
	lease, err := other.manager.AcquireDirect(svc, nil, request(testTimeout), false)
	is.NoErr(err)
	is.Equal(lease.Target(), "t1")
	lease.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not reached")
}

func TestWaitEndsWhenAnotherHostBecomesOwner(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 1)
	owner, other := ownerAndOther(hosts)
	held, err := acquire(t, owner, testTimeout)
	is.NoErr(err)
	defer held.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
	failed := make(chan error, 1)
	go func() {
		_, err := acquire(t, other, testTimeout)
		failed <- err
	}()
	eventually(t, func() bool { f, _ := owner.manager.Fill(testKey); return f.Waiting == 1 })
	old := other.manager.cfg.View()
	next := &member.View{Version: old.Version + 1, Self: old.Self}
	for _, mb := range old.Members {
		if mb.ID != owner.manager.cfg.Self {
			next.Members = append(next.Members, mb)
		}
	}
	other.view.Store(next)
	var lost *OwnerLostError
	is.True(errors.As(<-failed, &lost))
	is.Equal(other.manager.Owner(testKey), other.manager.cfg.Self)
}

package member

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/peer/peertest"
)

const waitTimeout = 20 * time.Second

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// startNode runs a node on the network until the test ends or the returned function is called.
func startNode(t *testing.T, net *peertest.Network, id string) (*Node, *peertest.Node, func()) {
	end := net.Node(id)
	rng := rand.New(rand.NewPCG(3, uint64(len(id))))
	n := New(Config{
		Self:   Member{ID: id, Region: "r", Site: "s", PeerAddress: id, Incarnation: NewIncarnation(time.Now(), rng)},
		Peers:  end,
		Rand:   rng,
		Events: event.NewRecorder(event.RecorderConfig{Size: 64, Clock: event.NewHybridClock(clock.System{}), Log: logr.Discard()}),
		Timing: Timing{ProbeInterval: 20 * time.Millisecond},
	})
	end.Handle(Method, n.Handle)
	n.UpdateHosts(&hostlist.List{ReadAt: time.Now(), Hosts: []hostlist.Host{
		{ID: "a", Role: hostlist.RoleEntry, Region: "r"},
		{ID: "b", Role: hostlist.RoleEntry, Region: "r"},
		{ID: "c", Role: hostlist.RoleEntry, Region: "r"},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return n, end, stop
}

func TestNodesJoinAndLeave(t *testing.T) {
	is := is.New(t)
	net := peertest.New(clock.System{}, rand.New(rand.NewPCG(1, 1)))
	a, _, _ := startNode(t, net, "a")
	_, isolated := a.IsolatedSince()
	is.True(isolated) // two listed hosts have not answered yet
	views := make(chan View, 100)
	a.Subscribe(func(v View) { views <- v })
	b, bEnd, stopB := startNode(t, net, "b")
	c, _, _ := startNode(t, net, "c")
	for _, n := range []*Node{a, b, c} {
		waitFor(t, "three connected members", func() bool {
			_, isolated := n.IsolatedSince()
			return !isolated && len(n.View().Members) == 3
		})
	}
	b.AnnounceLeaving()
	waitFor(t, "b leaving", func() bool { return a.View().Members[1].State == Leaving })
	stopB()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	b.AnnounceLeft(ctx)
	bEnd.Stop()
	waitFor(t, "b left", func() bool { return len(a.View().Members) == 2 && len(c.View().Members) == 2 })
	is.True(len(views) > 0)
}

func TestReportedFailureTriggersProbe(t *testing.T) {
	net := peertest.New(clock.System{}, rand.New(rand.NewPCG(1, 1)))
	a, _, _ := startNode(t, net, "a")
	startNode(t, net, "b")
	startNode(t, net, "c")
	waitFor(t, "three members", func() bool { return len(a.View().Members) == 3 })
	net.Cut("a", "b")
	net.Cut("b", "c")
	a.ReportReachability("b", false)
	waitFor(t, "b suspect", func() bool { return a.View().Members[1].State == Suspect })
	waitFor(t, "b dead", func() bool { return len(a.View().Members) == 2 })
	net.Heal("a", "b")
	net.Heal("b", "c")
	waitFor(t, "b alive again", func() bool { return len(a.View().Members) == 3 })
}

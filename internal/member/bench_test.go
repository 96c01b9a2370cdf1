package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// cpuTime returns the CPU time used by the process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRealHosts runs nodes in three regions over TCP on loopback. One iteration lasts one second.
// B/s/host is the rate of TCP payload sent per host.
func BenchmarkRealHosts(b *testing.B) {
	for _, n := range []int{4, 16, 48} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkRealHosts(b, n) })
	}
}

func benchmarkRealHosts(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	list := &hostlist.List{ReadAt: time.Now()}
	var nodes []*Node
	var peers []*peer.Node
	for i := range n {
		node, p := newRealHost(b, i)
		nodes = append(nodes, node)
		peers = append(peers, p)
		self := node.cfg.Self
		list.Hosts = append(list.Hosts, hostlist.Host{
			ID: self.ID, Address: self.PeerAddress, Role: hostlist.RoleEntry, State: hostlist.StateLive, Region: self.Region,
		})
	}
	for _, node := range nodes {
		node.UpdateHosts(list)
		wg.Go(func() { node.Run(ctx) })
	}
	time.Sleep(5 * time.Second)
	for _, node := range nodes { // gossip about the start would take longer to end
		node.update(func(m *stateMachine, _ time.Time) { m.gossip.items = nil })
	}
	began, cpu, bytes := time.Now(), cpuTime(), sentBytes(peers)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	span := time.Since(began).Seconds()
	b.ReportMetric(float64(sentBytes(peers)-bytes)/span/float64(n), "B/s/host")
	b.ReportMetric((cpuTime()-cpu).Seconds()/span/float64(n)*100, "%core/host")
	cancel()
	wg.Wait()
	for _, p := range peers {
		_ = p.Close(context.Background())
	}
}

func sentBytes(peers []*peer.Node) uint64 {
	total := uint64(0)
	for _, p := range peers {
		sent, _ := p.ConnectionBytes()
		total += sent
	}
	return total
}

func newRealHost(b *testing.B, i int) (*Node, *peer.Node) {
	var node *Node
	id := fmt.Sprintf("entry-%02d", i)
	hybrid := event.NewHybridClock(clock.System{})
	events := event.NewRecorder(event.RecorderConfig{Host: id, Size: 64, Clock: hybrid, Log: logr.Discard()})
	p, err := peer.New(peer.Config{
		Self:        id,
		Listen:      "127.0.0.1:0",
		Resolve:     func(host string) (string, bool) { return node.Resolve(host) },
		HybridClock: hybrid,
		Events:      events,
	})
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, uint64(i)))
	node = New(Config{
		Self: Member{
			ID: id, Incarnation: NewIncarnation(time.Now(), rng), Region: fmt.Sprintf("region-%d", i%3),
			Site: fmt.Sprintf("site-%d", i%6), PeerAddress: p.Addr().String(),
		},
		Peers:  p,
		Rand:   rng,
		Events: events,
	})
	p.Handle(Method, node.Handle)
	p.Start()
	return node, p
}

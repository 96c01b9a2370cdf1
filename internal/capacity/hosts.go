package capacity

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
)

var fleetSizes = []int{4, 8, 16}

// peerTraffic contains the fields of /status with the bytes sent to and received from other hosts.
type peerTraffic struct {
	Sent     uint64 `json:"peer_bytes_sent"`
	Received uint64 `json:"peer_bytes_received"`
}

// idleCost is the mean cost per host of an idle fleet.
type idleCost struct {
	bytes  float64 // per second, sent and received
	cpu    float64 // percent of a core
	memory float64 // MB
}

// measureHosts measures the cost of idle fleets by size. The hosts follow the configuration in the store.
func (p *processes) measureHosts(ctx context.Context, f *Figures) {
	var bytes, cpu, memory []Point
	var failed error
	for _, n := range fleetSizes {
		cost, err := p.measureIdleFleet(ctx, n)
		if err != nil {
			failed = err
			break
		}
		bytes = append(bytes, Point{float64(n), cost.bytes})
		cpu = append(cpu, Point{float64(n), cost.cpu})
		memory = append(memory, Point{float64(n), cost.memory})
	}
	f.add(Series{idleBytes, "bytes between idle hosts, sent and received, all messages", axisHosts, "B/s a host", toolCommand, bytes}, failed)
	f.add(Series{idleHosts, "processor time of an idle host, all work", axisHosts, "% of a core a host", toolCommand, cpu}, failed)
	f.add(Series{memoryHosts, "resident memory of an idle host", axisHosts, "MB a host", toolCommand, memory}, failed)
}

func (p *processes) measureIdleFleet(ctx context.Context, n int) (idleCost, error) {
	c, err := harness.Prepare(ctx, harness.Options{Bin: p.bin, Example: example, Entries: n, FromStore: true})
	if err != nil {
		return idleCost{}, err
	}
	defer c.Close()
	if err := startEntries(ctx, c, true); err != nil {
		return idleCost{}, err
	}
	sleep(ctx, p.duration(settleTime, membershipSettleTime))
	return measureIdle(ctx, c, p.duration(2*time.Second, 10*time.Second))
}

func measureIdle(ctx context.Context, c *harness.Cluster, duration time.Duration) (idleCost, error) {
	before, err := totalPeerBytes(ctx, c)
	if err != nil {
		return idleCost{}, err
	}
	used, began := processorTime(c), time.Now()
	sleep(ctx, duration)
	seconds := time.Since(began).Seconds()
	used = processorTime(c) - used
	after, err := totalPeerBytes(ctx, c)
	if err != nil {
		return idleCost{}, err
	}
	memory := int64(0)
	for _, e := range c.Entries {
		memory += e.ResidentBytes()
	}
	hosts := float64(len(c.Entries))
	return idleCost{
		bytes:  float64(after-before) / seconds / hosts,
		cpu:    percent * used.Seconds() / seconds / hosts,
		memory: float64(memory) / megabyte / hosts,
	}, nil
}

// totalPeerBytes returns the sum of the bytes that the hosts have sent to and received from each other.
func totalPeerBytes(ctx context.Context, c *harness.Cluster) (uint64, error) {
	sum := uint64(0)
	for _, e := range c.Entries {
		var t peerTraffic
		if err := e.Status(ctx, &t); err != nil {
			return 0, err
		}
		sum += t.Sent + t.Received
	}
	return sum, nil
}

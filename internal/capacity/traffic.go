package capacity

import (
	"context"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/demo"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

const (
	trafficWork     = 2 * time.Millisecond
	trafficDeadline = 2 * time.Second
	// minAnsweredShare is the fraction of answered requests below which a measurement is invalid.
	minAnsweredShare = 0.99
	percent          = 100
	megabyte         = 1e6
)

var trafficRates = []int{250, 500, 1000, 2000}

// measureTraffic measures the cost of requests on one host and on four hosts. The four hosts are in two
// data centres, two in each, so that about half of the requests acquire their slot from another host.
func (p *processes) measureTraffic(ctx context.Context, f *Figures) {
	const x, y = "requests/s", "% of a core"
	cpu, memory, err := p.measureTrafficByRate(ctx, 1)
	f.add(Series{requestOneHost, "processor time of requests, one entry host", x, y, toolCommand, cpu}, err)
	f.add(Series{memoryRate, "resident memory, one entry host", x, "MB", toolCommand, memory}, err)
	cpu, _, err = p.measureTrafficByRate(ctx, 4)
	f.add(Series{requestFourHosts, "processor time of requests, four entry hosts in two data centres, sum", x, y, toolCommand, cpu}, err)
}

// measureTrafficByRate returns the CPU usage of all hosts in percent of a core and the memory of the
// first host in MB, by request rate.
func (p *processes) measureTrafficByRate(ctx context.Context, hosts int) (cpu, memory []Point, err error) {
	c, err := harness.Start(ctx, harness.Options{
		Bin: p.bin, Example: example, HomeRegion: exampleRegion, Entries: hosts, Adjust: removeSlotLimits,
	})
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	sleep(ctx, settleTime)
	duration := p.duration(time.Second, 5*time.Second)
	for _, rate := range trafficRates {
		before := processorTime(c)
		if err := sendLoad(ctx, c, rate, duration); err != nil {
			return nil, nil, err
		}
		used := processorTime(c) - before
		cpu = append(cpu, Point{float64(rate), percent * used.Seconds() / duration.Seconds()})
		memory = append(memory, Point{float64(rate), float64(c.Entries[0].ResidentBytes()) / megabyte})
	}
	return cpu, memory, nil
}

func processorTime(c *harness.Cluster) time.Duration {
	sum := time.Duration(0)
	for _, e := range c.Entries {
		sum += e.CPUTime()
	}
	return sum
}

// sendLoad sends idempotent queries through all entry hosts. rate is in requests per second.
func sendLoad(ctx context.Context, c *harness.Cluster, rate int, duration time.Duration) error {
	plan := &load.Plan{
		Profile: load.Steady(float64(rate), duration),
		Classes: []load.Class{queryClass(c)},
		Callers: demo.Callers(c.Declaration),
		Seed:    uint64(rate),
		Prefix:  "capacity-" + strconv.Itoa(rate) + "-",
	}
	runner := load.Runner{Endpoints: demo.Endpoints(c)}
	results := load.AggregateByClass(plan, runner.Run(ctx, plan))
	all := results[len(results)-1]
	answered := all.Counts[load.Answered]
	if float64(answered) < minAnsweredShare*float64(all.Requests()) {
		return &TooFewResponsesError{Rate: rate, Answered: answered, Requests: all.Requests()}
	}
	return nil
}

// queryClass returns a class of short requests to the first route that needs no idempotency key.
func queryClass(c *harness.Cluster) load.Class {
	for _, class := range demo.Classes(c.Declaration) {
		if class.Keyed {
			continue
		}
		q := load.Query(trafficWork, trafficDeadline)
		q.Path = class.Path
		return q
	}
	return load.Query(trafficWork, trafficDeadline)
}

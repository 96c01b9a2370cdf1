package capacity

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// targetsPerService is the number of targets of a generated service: 6,100 targets in 160 services.
const targetsPerService = 38

var configurationSizes = []int{100, 1600, targets}

// measureTargets measures the cost of one idle entry host by the size of its configuration, with the
// configuration in files and in the store.
func (p *processes) measureTargets(ctx context.Context, f *Figures) {
	memory, cpu, err := p.measureIdleBySize(ctx, false)
	f.add(Series{memoryTargets, "resident memory of an idle entry host, configuration in files", axisTargets, "MB", toolCommand, memory}, err)
	f.add(Series{idleTargets, "processor time of an idle entry host, configuration in files", axisTargets, "% of a core", toolCommand, cpu}, err)
	memory, cpu, err = p.measureIdleBySize(ctx, true)
	f.add(Series{memoryTargetsStore, "resident memory of an idle entry host, configuration in the store", axisTargets, "MB", toolCommand, memory}, err)
	f.add(Series{idleTargetsStore, "processor time of an idle entry host, configuration in the store", axisTargets, "% of a core", toolCommand, cpu}, err)
}

func (p *processes) measureIdleBySize(ctx context.Context, fromStore bool) (memory, cpu []Point, err error) {
	for _, n := range configurationSizes {
		m, c, err := p.measureIdleHost(ctx, n, fromStore)
		if err != nil {
			return nil, nil, err
		}
		memory = append(memory, Point{float64(n), m})
		cpu = append(cpu, Point{float64(n), c})
	}
	return memory, cpu, nil
}

// measureIdleHost returns the resident memory in MB and the CPU usage in percent of a core of one idle
// entry host with n targets.
func (p *processes) measureIdleHost(ctx context.Context, n int, fromStore bool) (memory, cpu float64, err error) {
	c, err := harness.Prepare(ctx, harness.Options{
		Bin: p.bin, Example: example, Entries: 1, FromStore: fromStore,
		Adjust: func(d *config.Declaration, _ []backend.Config) { addTargets(d, n) },
	})
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	if err := startEntries(ctx, c, fromStore); err != nil {
		return 0, 0, err
	}
	sleep(ctx, settleTime)
	duration := p.duration(2*time.Second, 10*time.Second)
	before := processorTime(c)
	sleep(ctx, duration)
	cpu = percent * (processorTime(c) - before).Seconds() / duration.Seconds()
	return float64(c.Entries[0].ResidentBytes()) / megabyte, cpu, nil
}

// startEntries starts the entry hosts. If they follow the store, it applies the configuration first.
func startEntries(ctx context.Context, c *harness.Cluster, fromStore bool) error {
	if fromStore {
		if err := c.Apply(ctx, "measurement"); err != nil {
			return err
		}
	}
	return c.StartEntries(ctx)
}

// addTargets adds services until there are n targets, distributed over the data centres. Nothing listens
// on the addresses of the targets.
func addTargets(d *config.Declaration, n int) {
	var sites []string
	for _, region := range d.Regions {
		sites = append(sites, slices.Collect(maps.Keys(region.Sites))...)
	}
	slices.Sort(sites)
	declared := 0
	for _, s := range d.Services {
		declared += len(s.Targets)
	}
	slots := 6
	for i := 0; declared+i < n; i++ {
		number := i / targetsPerService
		name := fmt.Sprintf("generated-%d", number)
		if d.Services[name] == nil {
			d.Services[name] = generatedService(number)
		}
		d.Services[name].Targets[fmt.Sprintf("generated-%d", i)] = &config.DeclaredTarget{
			Address: fmt.Sprintf("127.%d.%d.%d:9", 1+i/62500, i/250%250, 1+i%250),
			Site:    sites[i%len(sites)],
			Slots:   &slots,
		}
	}
}

func generatedService(number int) *config.DeclaredService {
	return &config.DeclaredService{
		Routes:  map[string]*config.DeclaredRoute{"all": {PathPrefix: fmt.Sprintf("/generated-%d", number)}},
		Targets: map[string]*config.DeclaredTarget{},
	}
}

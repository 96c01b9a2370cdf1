package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/store"
)

const (
	spreadChanges     = 40
	spreadLongChanges = 200
	// spreadIdlePeriod is the period without changes over which the idle calls and bytes are counted.
	spreadIdlePeriod = 10 * time.Second
	// spreadTimeout is the maximum time until one change is in force on all hosts.
	spreadTimeout      = 20 * time.Second
	spreadPollInterval = 20 * time.Millisecond
	// Bounds of the time from the acceptance of a change until it is in force on all hosts, in milliseconds.
	maxSpreadMillis    = 6000
	maxSpreadP99Millis = 1000
	// maxHostBytesPerSecond bounds the control traffic of a host, sent and received, in bytes per second.
	maxHostBytesPerSecond = 10_000
	// changeInterval is the mean time between changes at 9,600 changes per day.
	changeInterval = 9 * time.Second
)

// RevisionTimeoutError reports a host that did not reach a revision within spreadTimeout.
type RevisionTimeoutError struct {
	Host     string
	Revision uint64
}

// Error implements error.
func (e *RevisionTimeoutError) Error() string {
	return fmt.Sprintf("%s did not reach revision %d within %s", e.Host, e.Revision, spreadTimeout)
}

// benchConfigSpread measures how fast accepted configurations come into force on all hosts, and the
// store calls and bytes that this takes.
var benchConfigSpread = Bench{Name: "config-spread", Run: func(ctx context.Context, env *Env) error {
	for _, d := range env.Deployments {
		if err := env.measureSpread(ctx, d); err != nil {
			return err
		}
	}
	return nil
}}

func (e *Env) measureSpread(ctx context.Context, d deployment) error {
	c, err := harness.Prepare(ctx, harness.Options{
		Bin: e.Bin, Example: d.name, Entries: entryHosts, FromStore: true, Adjust: e.Adjust,
		EntryArgs: []string{"--drain-delay", drainDelay.String()},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Apply(ctx, "first"); err != nil {
		return err
	}
	if err := c.StartEntries(ctx); err != nil {
		return err
	}
	m := &spreadSession{
		session:  &session{Cluster: c, env: e, bench: "config-spread", deployment: d, policy: policyOwner},
		acceptor: revision.NewAcceptor(store.NewConsul(store.Config{Address: c.Platform.StoreURL}), clock.System{}, rand.New(rand.NewPCG(e.Seed, 1))),
		revision: 1,
	}
	return m.measure(ctx)
}

// spreadSession applies configuration changes to one deployment.
type spreadSession struct {
	*session
	acceptor *revision.Acceptor
	revision uint64
}

// spreadCounters is a reading of the cumulative store calls and of the mean bytes per host.
type spreadCounters struct {
	calls float64
	bytes float64
	at    time.Time
}

func (m *spreadSession) measure(ctx context.Context) error {
	if _, err := m.awaitRevision(ctx); err != nil {
		return err
	}
	start, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	time.Sleep(spreadIdlePeriod)
	idle, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	delays, err := m.applyChanges(ctx)
	if err != nil {
		return err
	}
	end, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	if err := m.writeTimes(delays); err != nil {
		return err
	}
	return m.writeCosts(start, idle, end, float64(len(delays)))
}

func (m *spreadSession) applyChanges(ctx context.Context) ([]float64, error) {
	tree, err := config.ReadTree(m.ConfigDir())
	if err != nil {
		return nil, err
	}
	count := spreadChanges
	if m.env.Long {
		count = spreadLongChanges
	}
	var delays []float64
	for n := range count {
		overlay := fmt.Sprintf("services: {%s: {queueLimit: %d}}\n", m.deployment.service, n+1)
		for name := range tree.Overlays {
			tree.Overlays[name] = []byte(overlay)
		}
		r, err := m.acceptor.Apply(ctx, &revision.Proposal{Tree: tree, Parent: m.revision, ChangeID: fmt.Sprint(n), Author: "bench"})
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		m.revision = r.Revision
		last, err := m.awaitRevision(ctx)
		if err != nil {
			return nil, err
		}
		delays = append(delays, max(0, milliseconds(last.Sub(accepted))))
	}
	slices.Sort(delays)
	return delays, nil
}

// awaitRevision waits until the revision is in force on all hosts. It returns the time at which the last
// host put it in force.
func (m *spreadSession) awaitRevision(ctx context.Context) (last time.Time, err error) {
	end := time.Now().Add(spreadTimeout)
	for _, e := range m.Entries {
		since, err := m.awaitHost(ctx, e, end)
		if err != nil {
			return last, err
		}
		if since.After(last) {
			last = since
		}
	}
	return last, nil
}

func (m *spreadSession) awaitHost(ctx context.Context, e *harness.Entry, end time.Time) (time.Time, error) {
	var status struct {
		Revision uint64    `json:"revision"`
		Since    time.Time `json:"in_force_since"`
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if e.Status(ctx, &status) == nil && status.Revision >= m.revision {
			return status.Since, nil
		}
		time.Sleep(spreadPollInterval)
	}
	return time.Time{}, &RevisionTimeoutError{Host: e.ID, Revision: m.revision}
}

// readCounters reads the counters of the store and of all hosts. The bytes are the mean over the hosts.
func (m *spreadSession) readCounters(ctx context.Context) (spreadCounters, error) {
	counts, err := m.Platform.StoreCalls(ctx)
	if err != nil {
		return spreadCounters{}, err
	}
	c := spreadCounters{calls: float64(counts.Reads + counts.Writes), at: time.Now()}
	for _, e := range m.Entries {
		var status struct {
			Sent     uint64 `json:"peer_bytes_sent"`
			Received uint64 `json:"peer_bytes_received"`
		}
		if err := e.Status(ctx, &status); err != nil {
			return spreadCounters{}, err
		}
		c.bytes += float64(status.Sent+status.Received) / float64(len(m.Entries))
	}
	return c, nil
}

func (m *spreadSession) writeTimes(delays []float64) error {
	quantile := func(q float64) float64 { return delays[int(q*float64(len(delays)-1))] }
	if err := m.write("in_force_everywhere_p50", "ms", Unbounded, quantile(0.5)); err != nil {
		return err
	}
	if err := m.write("in_force_everywhere_p99", "ms", AtMost(maxSpreadP99Millis), quantile(0.99)); err != nil {
		return err
	}
	return m.write("in_force_everywhere_max", "ms", AtMost(maxSpreadMillis), delays[len(delays)-1])
}

// writeCosts writes the costs of changes. It subtracts the idle cost, at the rates measured before the
// changes.
func (m *spreadSession) writeCosts(start, idle, end spreadCounters, changes float64) error {
	idleSeconds := idle.at.Sub(start.at).Seconds()
	idleCalls := (idle.calls - start.calls) / idleSeconds
	idleBytes := (idle.bytes - start.bytes) / idleSeconds
	seconds := end.at.Sub(idle.at).Seconds()
	perChange := (end.bytes - idle.bytes - idleBytes*seconds) / changes
	if err := m.write("store_calls_per_idle_minute", "calls", Unbounded, idleCalls*time.Minute.Seconds()); err != nil {
		return err
	}
	if err := m.write("store_calls_per_change", "calls", Unbounded, (end.calls-idle.calls-idleCalls*seconds)/changes); err != nil {
		return err
	}
	if err := m.write("bytes_per_change_and_host", "B", Unbounded, perChange); err != nil {
		return err
	}
	if err := m.write("idle_bytes_per_second_and_host", "B/s", Unbounded, idleBytes); err != nil {
		return err
	}
	return m.write("bytes_per_second_and_host", "B/s", AtMost(maxHostBytesPerSecond), idleBytes+perChange/changeInterval.Seconds())
}

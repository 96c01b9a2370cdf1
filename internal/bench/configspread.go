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
	// spreadIdle is the time without changes that calls and bytes are counted over.
	spreadIdle = 10 * time.Second
	// spreadLimit is how long one change may take to be in force everywhere.
	spreadLimit = 20 * time.Second
	spreadPoll  = 20 * time.Millisecond
	// Bounds of the time from acceptance to in force on all hosts, in milliseconds.
	spreadBound = 6000
	spreadGoal  = 1000
	// spreadBytes bounds what a host spends on all control traffic, in bytes per second.
	spreadBytes = 10_000
	// changePeriod is the mean time between changes at 9,600 a day.
	changePeriod = 9 * time.Second
)

// RevisionTimeoutError reports a host that did not reach a revision in time.
type RevisionTimeoutError struct {
	Host     string
	Revision uint64
}

// Error implements error.
func (e *RevisionTimeoutError) Error() string {
	return fmt.Sprintf("%s did not reach revision %d within %s", e.Host, e.Revision, spreadLimit)
}

// benchConfigSpread measures how fast accepted configurations are in force on all hosts and what
// that costs.
var benchConfigSpread = Bench{Name: "config-spread", Run: func(ctx context.Context, env *Env) error {
	for _, s := range env.Sites {
		if err := env.spreadAt(ctx, s); err != nil {
			return err
		}
	}
	return nil
}}

func (e *Env) spreadAt(ctx context.Context, s site) error {
	c, err := harness.Prepare(ctx, harness.Options{
		Bin: e.Bin, Example: s.name, Entries: entryHosts, FromStore: true, Adjust: e.Adjust,
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
	m := &spreadMeasure{
		session:  &session{Cluster: c, env: e, bench: "config-spread", site: s, policy: policyOwner},
		acceptor: revision.NewAcceptor(store.NewConsul(store.Config{Address: c.Platform.StoreURL}), clock.System{}, rand.New(rand.NewPCG(e.Seed, 1))),
		revision: 1,
	}
	return m.measure(ctx)
}

// spreadMeasure applies changes to one deployment.
type spreadMeasure struct {
	*session
	acceptor *revision.Acceptor
	revision uint64
}

// spreadCost counts what the spread used so far.
type spreadCost struct {
	calls float64
	bytes float64
	at    time.Time
}

func (m *spreadMeasure) measure(ctx context.Context) error {
	if _, err := m.await(ctx); err != nil {
		return err
	}
	start, err := m.cost(ctx)
	if err != nil {
		return err
	}
	time.Sleep(spreadIdle)
	idle, err := m.cost(ctx)
	if err != nil {
		return err
	}
	took, err := m.changes(ctx)
	if err != nil {
		return err
	}
	end, err := m.cost(ctx)
	if err != nil {
		return err
	}
	if err := m.writeTimes(took); err != nil {
		return err
	}
	return m.writeCosts(start, idle, end, float64(len(took)))
}

func (m *spreadMeasure) changes(ctx context.Context) ([]float64, error) {
	tree, err := config.ReadTree(m.ConfigDir())
	if err != nil {
		return nil, err
	}
	count := spreadChanges
	if m.env.Long {
		count = spreadLongChanges
	}
	var took []float64
	for n := range count {
		overlay := fmt.Sprintf("services: {%s: {queueLimit: %d}}\n", m.site.service, n+1)
		for name := range tree.Overlays {
			tree.Overlays[name] = []byte(overlay)
		}
		r, err := m.acceptor.Apply(ctx, &revision.Proposal{Tree: tree, Parent: m.revision, ChangeID: fmt.Sprint(n), Author: "bench"})
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		m.revision = r.Revision
		last, err := m.await(ctx)
		if err != nil {
			return nil, err
		}
		took = append(took, max(0, milliseconds(last.Sub(accepted))))
	}
	slices.Sort(took)
	return took, nil
}

// await waits until all hosts have the revision in force and returns when the last one had it.
func (m *spreadMeasure) await(ctx context.Context) (last time.Time, err error) {
	end := time.Now().Add(spreadLimit)
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

func (m *spreadMeasure) awaitHost(ctx context.Context, e *harness.Entry, end time.Time) (time.Time, error) {
	var status struct {
		Revision uint64    `json:"revision"`
		Since    time.Time `json:"in_force_since"`
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if e.Status(ctx, &status) == nil && status.Revision >= m.revision {
			return status.Since, nil
		}
		time.Sleep(spreadPoll)
	}
	return time.Time{}, &RevisionTimeoutError{Host: e.ID, Revision: m.revision}
}

// cost reads the counters of the store and of all hosts. Bytes are the mean of the hosts.
func (m *spreadMeasure) cost(ctx context.Context) (spreadCost, error) {
	counts, err := m.Platform.StoreCalls(ctx)
	if err != nil {
		return spreadCost{}, err
	}
	c := spreadCost{calls: float64(counts.Reads + counts.Writes), at: time.Now()}
	for _, e := range m.Entries {
		var status struct {
			Sent     uint64 `json:"peer_bytes_sent"`
			Received uint64 `json:"peer_bytes_received"`
		}
		if err := e.Status(ctx, &status); err != nil {
			return spreadCost{}, err
		}
		c.bytes += float64(status.Sent+status.Received) / float64(len(m.Entries))
	}
	return c, nil
}

func (m *spreadMeasure) writeTimes(took []float64) error {
	rank := func(q float64) float64 { return took[int(q*float64(len(took)-1))] }
	if err := m.write("in_force_everywhere_p50", "ms", Unbounded, rank(0.5)); err != nil {
		return err
	}
	if err := m.write("in_force_everywhere_p99", "ms", AtMost(spreadGoal), rank(0.99)); err != nil {
		return err
	}
	return m.write("in_force_everywhere_max", "ms", AtMost(spreadBound), took[len(took)-1])
}

// writeCosts tells the cost of changes from that of the idle time by the rates before the changes.
func (m *spreadMeasure) writeCosts(start, idle, end spreadCost, changes float64) error {
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
	return m.write("bytes_per_second_and_host", "B/s", AtMost(spreadBytes), idleBytes+perChange/changePeriod.Seconds())
}

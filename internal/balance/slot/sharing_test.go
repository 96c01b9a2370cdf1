package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hopLatency is the one-way latency between two hosts of a data centre, or from a host to a target.
const hopLatency = 500 * time.Microsecond

// remoteGroupPolicy acquires each slot from a Group whose owner is one hop away from the host.
type remoteGroupPolicy struct{ *groupPolicy }

func (p remoteGroupPolicy) arrive(j job) {
	p.after(2*hopLatency, func() { p.groupPolicy.arrive(j) })
}

// sheddingPolicy sends each job to the less loaded of two random targets, by the host's own counts. A target without a
// free slot sheds the job. The host then tries again, up to maxAttempts times in total.
type sheddingPolicy struct {
	*simulation
	rng         *rand.Rand
	inFlight    [][]int // requests in flight by host and target
	busy        []int
	slots       int // running requests from which on a target sheds
	maxAttempts int
	sheds       int
	serve       serviceModel
}

func (p *sheddingPolicy) arrive(j job) { p.send(j, p.rng.IntN(len(p.inFlight)), p.maxAttempts) }

func (p *sheddingPolicy) send(j job, host, attemptsLeft int) {
	if attemptsLeft == 0 {
		p.end(j, true, false)
		return
	}
	t, other := p.rng.IntN(len(p.busy)), p.rng.IntN(len(p.busy))
	if p.inFlight[host][other] < p.inFlight[host][t] {
		t = other
	}
	p.inFlight[host][t]++
	p.after(hopLatency, func() { p.arriveAtTarget(j, host, t, attemptsLeft) })
}

func (p *sheddingPolicy) arriveAtTarget(j job, host, t, attemptsLeft int) {
	if p.busy[t] >= p.slots {
		p.sheds++
		p.after(hopLatency, func() {
			p.inFlight[host][t]--
			p.send(j, host, attemptsLeft-1)
		})
		return
	}
	p.busy[t]++
	took, failed := p.serve(p.now, t, &j)
	p.after(took, func() {
		p.busy[t]--
		p.after(hopLatency, func() {
			p.inFlight[host][t]--
			p.end(j, false, failed)
		})
	})
}

// localViewPolicy chooses the less loaded of two random targets, by the host's own counts plus the load of other hosts
// that the target last reported to this host. A report counts less the older it is.
type localViewPolicy struct {
	*directPolicy
	reports [][]loadReport // by host and target
}

// loadReport is the load that a target reported to a host.
type loadReport struct {
	inFlight   int
	receivedAt time.Duration
}

func (p *localViewPolicy) load(host, t int) float64 {
	r := p.reports[host][t]
	others := max(0, r.inFlight-p.inFlight[host][t])
	return float64(p.inFlight[host][t]) + float64(others)*decay(p.now-r.receivedAt, defaultReportHalfLife)
}

func (p *localViewPolicy) arrive(j job) {
	host := p.rng.IntN(len(p.inFlight))
	t, other := p.rng.IntN(len(p.busy)), p.rng.IntN(len(p.busy))
	if p.load(host, other) < p.load(host, t) {
		t = other
	}
	p.inFlight[host][t]++
	p.queues[t] = append(p.queues[t], queuedJob{j, host})
	p.next(t)
	p.reports[host][t] = loadReport{p.busy[t] + len(p.queues[t]), p.now}
}

func newGroupPolicy(s *simulation, cfg Config, seed uint64, size serviceSize, m serviceModel) *groupPolicy {
	p := &groupPolicy{
		simulation: s, serve: m, index: map[string]int{}, waiting: map[ID]job{},
		g: NewGroup(cfg, rand.New(rand.NewPCG(seed, 2))),
	}
	var ts []Target
	for i := range size.targets {
		name := targetName(i)
		p.index[name] = i
		ts = append(ts, Target{Name: name, Slots: size.slots})
	}
	p.g.SetTargets(start, ts)
	return p
}

// TestSlotSharingPolicies compares policies by which 16 hosts share targets, at several loads.
func TestSlotSharingPolicies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		for _, load := range []float64{0.7, 0.9, 1.2} {
			rng := rand.New(rand.NewPCG(6, 1))
			jobs := poissonArrivals(rng, 8*time.Second, constantRate(load, size, 1), func(*job) {})
			rs := map[string][]result{}

			s := &simulation{}
			st := &localViewPolicy{directPolicy: newDirectPolicy(s, rng, simHosts, size.targets, size.slots, true, constantSpeed)}
			for range simHosts {
				st.reports = append(st.reports, make([]loadReport, size.targets))
			}
			rs["local-view"] = simulate(s, jobs, st)

			sheds := map[string]int{}
			for over, name := range []string{"shed", "overcommit"} {
				s = &simulation{}
				sh := &sheddingPolicy{simulation: s, rng: rng, busy: make([]int, size.targets), slots: size.slots + over, maxAttempts: 4}
				for range simHosts {
					sh.inFlight = append(sh.inFlight, make([]int, size.targets))
				}
				sh.serve = slowWhenOvercommitted(sh, size.slots)
				rs[name] = simulate(s, jobs, sh)
				sheds[name] = sh.sheds
			}

			s = &simulation{}
			rs["owner"] = simulate(s, jobs, remoteGroupPolicy{newGroupPolicy(s, Config{}, 6, size, constantSpeed)})

			for _, name := range []string{"local-view", "shed", "overcommit", "owner"} {
				r := rs[name]
				t.Logf("share %s load %.1f %s: p50 %v p99 %v, in time %.3f, refused %.3f, sheds per job %.2f",
					size.name, load, name, quantile(r, 0.5, anyResult), quantile(r, 0.99, anyResult),
					share(r, (*result).inTime), share(r, func(r *result) bool { return r.refused }),
					float64(sheds[name])/float64(len(jobs)))
			}
			p99 := quantile(rs["owner"], 0.99, anyResult)
			is.True(p99 <= quantile(rs["local-view"], 0.99, anyResult))
			is.True(share(rs["owner"], (*result).inTime) >= share(rs["shed"], (*result).inTime))
		}
	}
}

// share returns the share of results that keep selects.
func share(rs []result, keep func(*result) bool) float64 {
	return float64(count(rs, keep)) / float64(len(rs))
}

// slowWhenOvercommitted returns a serviceModel in which a target with more running requests than slots becomes slower in
// proportion.
func slowWhenOvercommitted(p *sheddingPolicy, slots int) serviceModel {
	return func(_ time.Duration, t int, j *job) (time.Duration, bool) {
		return j.work * time.Duration(max(p.busy[t], slots)) / time.Duration(slots), false
	}
}

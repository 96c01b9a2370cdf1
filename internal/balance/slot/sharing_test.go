package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hopLatency is the time of one way between two hosts of a data centre, or from a host to a target.
const hopLatency = 500 * time.Microsecond

// remoteGroupPolicy is a Group whose owner is one hop away, for hosts that ask it for each slot.
type remoteGroupPolicy struct{ *groupPolicy }

func (p remoteGroupPolicy) arrive(j job) {
	p.after(2*hopLatency, func() { p.groupPolicy.arrive(j) })
}

// sheddingPolicy sends each job to one of two random targets by the host's own counts. A target without a
// free slot sheds, and the host tries another one, up to a limit.
type sheddingPolicy struct {
	*simulation
	rng    *rand.Rand
	inFlight  [][]int
	busy   []int
	slots  int // running requests above which a target sheds
	tries  int
	sheds  int
	serve serviceModel
}

func (p *sheddingPolicy) arrive(j job) { p.send(j, p.rng.IntN(len(p.inFlight)), p.tries) }

func (p *sheddingPolicy) send(j job, host, left int) {
	if left == 0 {
		p.end(j, true, false)
		return
	}
	t, other := p.rng.IntN(len(p.busy)), p.rng.IntN(len(p.busy))
	if p.inFlight[host][other] < p.inFlight[host][t] {
		t = other
	}
	p.inFlight[host][t]++
	p.after(hopLatency, func() { p.arriveAtTarget(j, host, t, left) })
}

func (p *sheddingPolicy) arriveAtTarget(j job, host, t, left int) {
	if p.busy[t] >= p.slots {
		p.sheds++
		p.after(hopLatency, func() {
			p.inFlight[host][t]--
			p.send(j, host, left-1)
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

// localViewPolicy chooses the less loaded of two random targets by the host's own counts plus what the
// target last reported to this host on an answer, which counts less the older it is.
type localViewPolicy struct {
	*directPolicy
	reports [][]loadReport
}

type loadReport struct {
	inFlight int
	receivedAt       time.Duration
}

func (p *localViewPolicy) load(host, t int) float64 {
	r := p.reports[host][t]
	foreign := max(0, r.inFlight-p.inFlight[host][t])
	return float64(p.inFlight[host][t]) + float64(foreign)*decay(p.now-r.receivedAt, defaultReportHalfLife)
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

func newGroupPolicy(s *simulation, cfg Config, seed uint64, z serviceSize, b serviceModel) *groupPolicy {
	p := &groupPolicy{
		simulation: s, serve: b, index: map[string]int{}, waiting: map[ID]job{},
		g: NewGroup(cfg, rand.New(rand.NewPCG(seed, 2))),
	}
	var ts []Target
	for i := range z.targets {
		name := targetName(i)
		p.index[name] = i
		ts = append(ts, Target{Name: name, Slots: z.slots})
	}
	p.g.SetTargets(start, ts)
	return p
}

// TestWaysToShareSlots compares ways for 16 hosts to share targets at several loads.
func TestWaysToShareSlots(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		for _, load := range []float64{0.7, 0.9, 1.2} {
			rng := rand.New(rand.NewPCG(6, 1))
			jobs := poissonArrivals(rng, 8*time.Second, constantRate(load, z, 1), func(*job) {})
			rs := map[string][]result{}

			s := &simulation{}
			st := &localViewPolicy{directPolicy: newDirectPolicy(s, rng, simulatedHosts, z.targets, z.slots, true, constantSpeed)}
			for range simulatedHosts {
				st.reports = append(st.reports, make([]loadReport, z.targets))
			}
			rs["alone"] = simulate(s, jobs, st)

			sheds := map[string]int{}
			for over, name := range []string{"shed", "overcommit"} {
				s = &simulation{}
				sh := &sheddingPolicy{simulation: s, rng: rng, busy: make([]int, z.targets), slots: z.slots + over, tries: 4}
				for range simulatedHosts {
					sh.inFlight = append(sh.inFlight, make([]int, z.targets))
				}
				sh.serve = slowWhenOvercommitted(sh, z.slots)
				rs[name] = simulate(s, jobs, sh)
				sheds[name] = sh.sheds
			}

			s = &simulation{}
			rs["owner"] = simulate(s, jobs, remoteGroupPolicy{newGroupPolicy(s, Config{}, 6, z, constantSpeed)})

			for _, name := range []string{"alone", "shed", "overcommit", "owner"} {
				r := rs[name]
				t.Logf("share %s load %.1f %s: p50 %v p99 %v, in time %.3f, refused %.3f, sheds per job %.2f",
					z.name, load, name, quantile(r, 0.5, anyResult), quantile(r, 0.99, anyResult),
					share(r, (*result).inTime), share(r, func(r *result) bool { return r.refused }),
					float64(sheds[name])/float64(len(jobs)))
			}
			p99 := quantile(rs["owner"], 0.99, anyResult)
			is.True(p99 <= quantile(rs["alone"], 0.99, anyResult))
			is.True(share(rs["owner"], (*result).inTime) >= share(rs["shed"], (*result).inTime))
		}
	}
}

func share(rs []result, keep func(*result) bool) float64 {
	return float64(count(rs, keep)) / float64(len(rs))
}

// slowWhenOvercommitted stretches running times in proportion while a target runs more requests than its slots.
func slowWhenOvercommitted(p *sheddingPolicy, slots int) serviceModel {
	return func(_ time.Duration, t int, j *job) (time.Duration, bool) {
		return j.work * time.Duration(max(p.busy[t], slots)) / time.Duration(slots), false
	}
}

package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
)

// hedgedPolicy sends a second copy of a job that runs longer than most. The slower copy is cancelled.
type hedgedPolicy struct {
	*groupPolicy
	hedge  retry.HedgePolicy
	jobs map[ID]*hedgedJob
	lastHedgeID   ID
	hedges   int
}

// hedgedJob are the running hedgedJob of one job.
type hedgedJob struct {
	job
	running map[ID]string
	done    bool
}

func (p *hedgedPolicy) arrive(j job) {
	p.hedge.Budget.OnFirstAttempt()
	p.jobs[j.id] = &hedgedJob{job: j, running: map[ID]string{}}
	p.request(j.id, j.id, Request{})
}

// request acquires a slot for a copy of the job of.
func (p *hedgedPolicy) request(of, id ID, r Request) {
	c := p.jobs[of]
	r.ID, r.Caller, r.Route = id, c.caller, c.route
	r.Deadline = start.Add(c.arrived + c.deadline)
	res := p.g.Acquire(p.time(), r)
	if res.Verdict == Granted {
		p.launch(of, res.Grant)
	}
	if res.Verdict == Refused && id == of {
		p.end(c.job, true, false)
	}
	if res.Verdict == Queued {
		p.waiting[id] = c.job
	}
}

func (p *hedgedPolicy) launch(of ID, grant Grant) {
	c := p.jobs[of]
	c.running[grant.ID] = grant.Target
	from := p.now
	took, _ := p.serve(p.now, p.index[grant.Target], &c.job)
	p.after(took, func() { p.answer(c, grant.ID, took) })
	cost := p.g.RouteStats(c.route)
	pending := retry.Pending{
		Idempotent: true, IsRetry: grant.ID != of, SampleCount: cost.Count(), P95: cost.P95(), Median: cost.Median(),
		SentAt: start.Add(from), Deadline: start.Add(c.arrived + c.deadline), OtherTargets: 1,
	}
	if delay, ok := p.hedge.Delay(pending); ok {
		p.after(delay, func() { p.sendHedge(c, of, grant.Target, pending) })
	}
}

func (p *hedgedPolicy) sendHedge(c *hedgedJob, of ID, target string, pending retry.Pending) {
	if c.done || !p.hedge.Allow(p.time(), pending) {
		return
	}
	p.lastHedgeID++
	p.hedges++
	p.request(of, p.lastHedgeID, Request{NoWait: true, Avoid: []string{target}})
}

func (p *hedgedPolicy) answer(c *hedgedJob, id ID, took time.Duration) {
	if _, runs := c.running[id]; !runs {
		return // cancelled before
	}
	c.done = true
	p.end(c.job, false, false)
	for other := range c.running {
		rep := ReportWithoutLoad(Cancelled, 0)
		if other == id {
			rep = ReportWithoutLoad(OK, took)
		}
		delete(c.running, other)
		for _, grant := range p.g.Release(p.time(), other, rep) {
			delete(p.waiting, grant.ID)
			p.launch(grant.ID, grant)
		}
	}
}

func TestHedgesCutStragglers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		for seed := range uint64(3) {
			rng := rand.New(rand.NewPCG(10, seed))
			straggle := func(_ time.Duration, _ int, j *job) (time.Duration, bool) {
				if rng.IntN(100) == 0 {
					return 20 * j.work, false
				}
				return j.work, false
			}
			jobs := poissonArrivals(rng, 6*time.Second, constantRate(0.7, z, 1.19), func(*job) {})
			rs := comparePolicies(seed, z, jobs, straggle)
			s := &simulation{}
			h := &hedgedPolicy{groupPolicy: newGroupPolicy(s, Config{}, seed, z, straggle), jobs: map[ID]*hedgedJob{}, lastHedgeID: 1 << 32}
			h.hedge.Budget = retry.NewBudget(retry.BudgetConfig{Ratio: 0.05})
			rs["hedged"] = simulate(s, jobs, h)
			for _, name := range []string{"naive", "least", "group", "hedged"} {
				t.Logf("hedge %s seed %d %s: p50 %v p99 %v p99.9 %v", z.name, seed, name,
					quantile(rs[name], 0.5, anyResult), quantile(rs[name], 0.99, anyResult), quantile(rs[name], 0.999, anyResult))
			}
			t.Logf("hedge %s seed %d: %d hedges of %d jobs", z.name, seed, h.hedges, len(jobs))
			p99 := quantile(rs["hedged"], 0.99, anyResult)
			is.Equal(len(rs["hedged"]), len(jobs))
			is.True(2*p99 <= quantile(rs["naive"], 0.99, anyResult))
			is.True(10*p99 <= 8*quantile(rs["least"], 0.99, anyResult))
			is.True(float64(h.hedges) <= 0.05*float64(len(jobs))+10)
		}
	}
}

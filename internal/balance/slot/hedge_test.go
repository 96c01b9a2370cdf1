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
	hedge       retry.HedgePolicy
	jobs        map[ID]*hedgedJob
	lastHedgeID ID
	hedges      int
}

// hedgedJob is a job with its running copies, keyed by grant ID.
type hedgedJob struct {
	job
	running map[ID]string // target by grant ID
	done    bool          // one copy was answered
}

func (p *hedgedPolicy) arrive(j job) {
	p.hedge.Budget.OnFirstAttempt()
	p.jobs[j.id] = &hedgedJob{job: j, running: map[ID]string{}}
	p.request(j.id, j.id, Request{})
}

// request acquires a slot for a copy of the job with the ID jobID.
func (p *hedgedPolicy) request(jobID, id ID, r Request) {
	hj := p.jobs[jobID]
	r.ID, r.Caller, r.Route = id, hj.caller, hj.route
	r.Deadline = start.Add(hj.arrived + hj.deadline)
	res := p.g.Acquire(p.time(), r)
	if res.Verdict == Granted {
		p.launch(jobID, res.Grant)
	}
	if res.Verdict == Refused && id == jobID {
		p.end(hj.job, true, false)
	}
	if res.Verdict == Queued {
		p.waiting[id] = hj.job
	}
}

// launch runs a granted copy of the job and schedules its hedge.
func (p *hedgedPolicy) launch(jobID ID, grant Grant) {
	hj := p.jobs[jobID]
	hj.running[grant.ID] = grant.Target
	from := p.now
	took, _ := p.serve(p.now, p.index[grant.Target], &hj.job)
	p.after(took, func() { p.answer(hj, grant.ID, took) })
	stats := p.g.RouteStats(hj.route)
	pending := retry.Pending{
		Idempotent: true, IsRetry: grant.ID != jobID, SampleCount: stats.Count(), P95: stats.P95(), Median: stats.Median(),
		SentAt: start.Add(from), Deadline: start.Add(hj.arrived + hj.deadline), OtherTargets: 1,
	}
	if delay, ok := p.hedge.Delay(pending); ok {
		p.after(delay, func() { p.sendHedge(hj, jobID, grant.Target, pending) })
	}
}

// sendHedge requests a slot on another target for a second copy, unless the job is done or the budget is used up.
func (p *hedgedPolicy) sendHedge(hj *hedgedJob, jobID ID, target string, pending retry.Pending) {
	if hj.done || !p.hedge.Allow(p.time(), pending) {
		return
	}
	p.lastHedgeID++
	p.hedges++
	p.request(jobID, p.lastHedgeID, Request{NoWait: true, Avoid: []string{target}})
}

// answer ends the job with the first answer and cancels the other copy.
func (p *hedgedPolicy) answer(hj *hedgedJob, id ID, took time.Duration) {
	if _, runs := hj.running[id]; !runs {
		return // cancelled earlier
	}
	hj.done = true
	p.end(hj.job, false, false)
	for other := range hj.running {
		rep := ReportWithoutLoad(Cancelled, 0)
		if other == id {
			rep = ReportWithoutLoad(OK, took)
		}
		delete(hj.running, other)
		for _, grant := range p.g.Release(p.time(), other, rep) {
			delete(p.waiting, grant.ID)
			p.launch(grant.ID, grant)
		}
	}
}

// TestHedgesCutStragglers runs a service in which one request of 100 takes 20 times as long. Hedged requests have to
// cut the tail latency within a budget of 5% more requests.
func TestHedgesCutStragglers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		for seed := range uint64(3) {
			rng := rand.New(rand.NewPCG(10, seed))
			withStragglers := func(_ time.Duration, _ int, j *job) (time.Duration, bool) {
				if rng.IntN(100) == 0 {
					return 20 * j.work, false
				}
				return j.work, false
			}
			jobs := poissonArrivals(rng, 6*time.Second, constantRate(0.7, size, 1.19), func(*job) {})
			rs := comparePolicies(seed, size, jobs, withStragglers)
			s := &simulation{}
			h := &hedgedPolicy{
				groupPolicy: newGroupPolicy(s, Config{}, seed, size, withStragglers),
				jobs:        map[ID]*hedgedJob{}, lastHedgeID: 1 << 32,
			}
			h.hedge.Budget = retry.NewBudget(retry.BudgetConfig{Ratio: 0.05})
			rs["hedged"] = simulate(s, jobs, h)
			for _, name := range []string{"random", "two-choices", "group", "hedged"} {
				t.Logf("hedge %s seed %d %s: p50 %v p99 %v p99.9 %v", size.name, seed, name,
					quantile(rs[name], 0.5, anyResult), quantile(rs[name], 0.99, anyResult), quantile(rs[name], 0.999, anyResult))
			}
			t.Logf("hedge %s seed %d: %d hedges of %d jobs", size.name, seed, h.hedges, len(jobs))
			p99 := quantile(rs["hedged"], 0.99, anyResult)
			is.Equal(len(rs["hedged"]), len(jobs))
			is.True(2*p99 <= quantile(rs["random"], 0.99, anyResult))
			is.True(10*p99 <= 8*quantile(rs["two-choices"], 0.99, anyResult))
			is.True(float64(h.hedges) <= 0.05*float64(len(jobs))+10)
		}
	}
}

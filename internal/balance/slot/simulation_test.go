package slot

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// job is one simulated request.
type job struct {
	id       ID
	route    string
	arrived  time.Duration // since the start of the simulation
	deadline time.Duration // after arrival
	work     time.Duration // running time on a target of normal speed
	long     bool
	caller   string
}

// result is the end of a job.
type result struct {
	job
	ended   time.Duration
	refused bool
	failed  bool
}

func (r *result) latency() time.Duration { return r.ended - r.arrived }

// inTime reports whether the job succeeded by its deadline.
func (r *result) inTime() bool {
	return !r.refused && !r.failed && r.latency() <= r.deadline
}

// serviceModel returns the running time of a job on a target and whether the job fails.
type serviceModel func(now time.Duration, target int, j *job) (time.Duration, bool)

// simEvent is an event of a simulation. Events at the same time run in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a min-heap of events by time.
type eventHeap []simEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation is a discrete-event simulation of jobs under one policy.
type simulation struct {
	now     time.Duration
	pending eventHeap
	lastSeq int
	results []result
}

// after schedules run at d from now.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.pending, simEvent{at: s.now + max(0, d), seq: s.lastSeq, run: run})
}

// end records the result of a job.
func (s *simulation) end(j job, refused, failed bool) {
	s.results = append(s.results, result{job: j, ended: s.now, refused: refused, failed: failed})
}

// run executes events until none are left.
func (s *simulation) run() {
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(simEvent)
		s.now = e.at
		e.run()
	}
}

// policy assigns the jobs of a simulation to targets.
type policy interface{ arrive(j job) }

// simulate runs the jobs under the policy and returns their results.
func simulate(s *simulation, jobs []job, p policy) []result {
	for _, j := range jobs {
		s.after(j.arrived, func() { p.arrive(j) })
	}
	s.run()
	return s.results
}

// groupPolicy acquires a slot of a Group for each job.
type groupPolicy struct {
	*simulation
	g       *Group
	index   map[string]int
	waiting map[ID]job
	serve   serviceModel
	tickAt  time.Duration
}

func (p *groupPolicy) time() time.Time { return start.Add(p.now) }

func (p *groupPolicy) arrive(j job) {
	p.waiting[j.id] = j
	r := Request{ID: j.id, Caller: j.caller, Route: j.route, Long: j.long, Deadline: p.time().Add(j.deadline)}
	res := p.g.Acquire(p.time(), r)
	switch res.Verdict {
	case Granted:
		p.start([]Grant{res.Grant})
	case Refused:
		p.refuse([]Refusal{res.Refusal})
	}
	p.scheduleTick()
}

// scheduleTick schedules a call of Tick at the time that NextTick asks for.
func (p *groupPolicy) scheduleTick() {
	due := p.now + p.g.NextTick(p.time())
	if len(p.waiting) == 0 || (p.tickAt > p.now && p.tickAt <= due) {
		return
	}
	p.tickAt = due
	p.after(due-p.now, func() {
		grants, refusals := p.g.Tick(p.time())
		p.start(grants)
		p.refuse(refusals)
		p.scheduleTick()
	})
}

func (p *groupPolicy) refuse(refusals []Refusal) {
	for _, r := range refusals {
		p.end(p.waiting[r.ID], true, false)
		delete(p.waiting, r.ID)
	}
}

func (p *groupPolicy) start(grants []Grant) {
	for _, grant := range grants {
		j := p.waiting[grant.ID]
		delete(p.waiting, grant.ID)
		took, failed := p.serve(p.now, p.index[grant.Target], &j)
		p.after(took, func() {
			outcome := OK
			if failed {
				outcome = Failed
			}
			p.end(j, false, failed)
			p.start(p.g.Release(p.time(), j.id, ReportWithoutLoad(outcome, took)))
			p.scheduleTick()
		})
	}
}

// directPolicy sends each job to a target at once, which queues it. Each host knows only its own requests.
type directPolicy struct {
	*simulation
	rng        *rand.Rand
	inFlight   [][]int // requests in flight by host and target
	queues     [][]queuedJob
	busy       []int
	slots      int
	twoChoices bool // pick the less loaded of two random targets by the host's own requests; otherwise a random one
	serve      serviceModel
}

// queuedJob is a job in a target's queue.
type queuedJob struct {
	job
	host int
}

func newDirectPolicy(s *simulation, rng *rand.Rand, hosts, targets, slots int, twoChoices bool, m serviceModel) *directPolicy {
	d := &directPolicy{simulation: s, rng: rng, slots: slots, twoChoices: twoChoices, serve: m}
	for range hosts {
		d.inFlight = append(d.inFlight, make([]int, targets))
	}
	d.queues = make([][]queuedJob, targets)
	d.busy = make([]int, targets)
	return d
}

func (d *directPolicy) arrive(j job) {
	host := d.rng.IntN(len(d.inFlight))
	t := d.rng.IntN(len(d.busy))
	if other := d.rng.IntN(len(d.busy)); d.twoChoices && d.inFlight[host][other] < d.inFlight[host][t] {
		t = other
	}
	d.inFlight[host][t]++
	d.queues[t] = append(d.queues[t], queuedJob{j, host})
	d.next(t)
}

func (d *directPolicy) next(t int) {
	if d.busy[t] >= d.slots || len(d.queues[t]) == 0 {
		return
	}
	j := d.queues[t][0]
	d.queues[t] = d.queues[t][1:]
	d.busy[t]++
	took, failed := d.serve(d.now, t, &j.job)
	d.after(took, func() {
		d.busy[t]--
		d.inFlight[j.host][t]--
		d.end(j.job, false, failed)
		d.next(t)
	})
}

// poissonArrivals returns jobs with Poisson arrivals during length. The rate, in jobs per second, may change over
// time. Jobs take 5 to 15 ms of work unless modify changes that.
func poissonArrivals(rng *rand.Rand, length time.Duration, rate func(time.Duration) float64, modify func(*job)) []job {
	var jobs []job
	now := time.Duration(0)
	for {
		now += time.Duration(rng.ExpFloat64() / rate(now) * float64(time.Second))
		if now > length {
			return jobs
		}
		j := job{id: ID(len(jobs) + 1), arrived: now, route: "r", deadline: time.Second, caller: "c"}
		j.work = time.Duration((5 + 10*rng.Float64()) * float64(time.Millisecond))
		modify(&j)
		jobs = append(jobs, j)
	}
}

// quantile returns the quantile q of the latencies of jobs that were not refused and that keep selects.
func quantile(rs []result, q float64, keep func(*result) bool) time.Duration {
	var ds []time.Duration
	for i := range rs {
		if !rs[i].refused && keep(&rs[i]) {
			ds = append(ds, rs[i].latency())
		}
	}
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

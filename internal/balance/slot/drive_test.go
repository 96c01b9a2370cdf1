package slot

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// job is one scripted request.
type job struct {
	id       ID
	route    string
	arrived  time.Duration
	deadline time.Duration // after arrival
	work     time.Duration // running time on an ordinary target
	long     bool
	caller   string
}

// result is how a job ended.
type result struct {
	job
	ended   time.Duration
	refused bool
	failed  bool
}

func (r *result) latency() time.Duration { return r.ended - r.arrived }

// inTime tells whether the job was answered by its deadline.
func (r *result) inTime() bool {
	return !r.refused && !r.failed && r.latency() <= r.deadline
}

// behaviour gives the running time of a job on a target, and whether it fails.
type behaviour func(now time.Duration, target int, j *job) (time.Duration, bool)

// event is a point of the script.
type event struct {
	at     time.Duration
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// script runs jobs against one policy on scripted time.
type script struct {
	now     time.Duration
	pending events
	serial  int
	results []result
}

func (s *script) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.pending, event{at: s.now + max(0, d), serial: s.serial, run: run})
}

func (s *script) end(j job, refused, failed bool) {
	s.results = append(s.results, result{job: j, ended: s.now, refused: refused, failed: failed})
}

func (s *script) run() {
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.run()
	}
}

// policy takes the jobs of a script.
type policy interface{ arrive(j job) }

func play(s *script, jobs []job, p policy) []result {
	for _, j := range jobs {
		s.after(j.arrived, func() { p.arrive(j) })
	}
	s.run()
	return s.results
}

// grouped sends the jobs through a Group.
type grouped struct {
	*script
	g       *Group
	index   map[string]int
	waiting map[ID]job
	behave  behaviour
	tickAt  time.Duration
}

func (p *grouped) time() time.Time { return start.Add(p.now) }

func (p *grouped) arrive(j job) {
	p.waiting[j.id] = j
	r := Request{ID: j.id, Caller: j.caller, Route: j.route, Long: j.long, Deadline: p.time().Add(j.deadline)}
	res := p.g.Acquire(p.time(), r)
	switch res.Verdict {
	case Granted:
		p.start([]Grant{res.Grant})
	case Refused:
		p.refuse([]Refusal{res.Refusal})
	}
	p.plan()
}

// plan calls Tick when it is due.
func (p *grouped) plan() {
	due := p.now + p.g.NextTick(p.time())
	if len(p.waiting) == 0 || (p.tickAt > p.now && p.tickAt <= due) {
		return
	}
	p.tickAt = due
	p.after(due-p.now, func() {
		grants, refusals := p.g.Tick(p.time())
		p.start(grants)
		p.refuse(refusals)
		p.plan()
	})
}

func (p *grouped) refuse(refusals []Refusal) {
	for _, r := range refusals {
		p.end(p.waiting[r.ID], true, false)
		delete(p.waiting, r.ID)
	}
}

func (p *grouped) start(grants []Grant) {
	for _, grant := range grants {
		j := p.waiting[grant.ID]
		delete(p.waiting, grant.ID)
		took, failed := p.behave(p.now, p.index[grant.Target], &j)
		p.after(took, func() {
			outcome := OK
			if failed {
				outcome = Failed
			}
			p.end(j, false, failed)
			p.start(p.g.Release(p.time(), j.id, ReportWithoutLoad(outcome, took)))
			p.plan()
		})
	}
}

// direct sends each job at once to a target, which queues it. Hosts count their own requests.
type direct struct {
	*script
	rng    *rand.Rand
	hosts  [][]int // requests in flight by host and target
	queues [][]direct1
	busy   []int
	slots  int
	least  bool // the less loaded of two random targets by the host's own requests
	behave behaviour
}

type direct1 struct {
	job
	host int
}

func newDirect(s *script, rng *rand.Rand, hosts, targets, slots int, least bool, b behaviour) *direct {
	d := &direct{script: s, rng: rng, slots: slots, least: least, behave: b}
	for range hosts {
		d.hosts = append(d.hosts, make([]int, targets))
	}
	d.queues = make([][]direct1, targets)
	d.busy = make([]int, targets)
	return d
}

func (d *direct) arrive(j job) {
	host := d.rng.IntN(len(d.hosts))
	t := d.rng.IntN(len(d.busy))
	if other := d.rng.IntN(len(d.busy)); d.least && d.hosts[host][other] < d.hosts[host][t] {
		t = other
	}
	d.hosts[host][t]++
	d.queues[t] = append(d.queues[t], direct1{j, host})
	d.next(t)
}

func (d *direct) next(t int) {
	if d.busy[t] >= d.slots || len(d.queues[t]) == 0 {
		return
	}
	j := d.queues[t][0]
	d.queues[t] = d.queues[t][1:]
	d.busy[t]++
	took, failed := d.behave(d.now, t, &j.job)
	d.after(took, func() {
		d.busy[t]--
		d.hosts[j.host][t]--
		d.end(j.job, false, failed)
		d.next(t)
	})
}

// poisson draws arrivals with a rate per second that may change over time.
func poisson(rng *rand.Rand, length time.Duration, rate func(time.Duration) float64, shape func(*job)) []job {
	var jobs []job
	now := time.Duration(0)
	for {
		now += time.Duration(rng.ExpFloat64() / rate(now) * float64(time.Second))
		if now > length {
			return jobs
		}
		j := job{id: ID(len(jobs) + 1), arrived: now, route: "r", deadline: time.Second, caller: "c"}
		j.work = time.Duration((5 + 10*rng.Float64()) * float64(time.Millisecond))
		shape(&j)
		jobs = append(jobs, j)
	}
}

// quantile of the latencies of the answered jobs that keep selects.
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

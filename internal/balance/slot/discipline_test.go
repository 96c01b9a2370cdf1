package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// sharedQueue hands the slots of all targets to one queue of a plain discipline.
type sharedQueue struct {
	*simulation
	free   int
	queue  []job
	lifo bool          // serve the newest first
	dropExpired   bool          // drop what has passed its deadline
	targetWait time.Duration // drop what has waited longer while the queue stands; zero means never
	lastEmpty  time.Duration // when the queue was last empty
	serve serviceModel
}

func (p *sharedQueue) arrive(j job) {
	p.queue = append(p.queue, j)
	p.next()
}

func (p *sharedQueue) next() {
	for p.free > 0 && len(p.queue) > 0 {
		j := p.take()
		waited := p.now - j.arrived
		standing := p.targetWait > 0 && p.now-p.lastEmpty > 10*p.targetWait
		if (p.dropExpired && waited > j.deadline) || (standing && waited > p.targetWait) {
			p.end(j, true, false)
			continue
		}
		p.free--
		took, failed := p.serve(p.now, 0, &j)
		p.after(took, func() {
			p.free++
			p.end(j, false, failed)
			p.next()
		})
	}
	if len(p.queue) == 0 {
		p.lastEmpty = p.now
	}
}

func (p *sharedQueue) take() job {
	last := len(p.queue) - 1
	if p.lifo {
		j := p.queue[last]
		p.queue = p.queue[:last]
		return j
	}
	j := p.queue[0]
	p.queue = p.queue[1:]
	return j
}

// TestQueueDisciplinesAtTheCrest compares disciplines over the crest, with targets that keep their
// speed and with targets that lose 40% of it without notice while demand is highest.
func TestQueueDisciplinesAtTheCrest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := serviceSize{"20x2", 20, 2}
	slower := func(now time.Duration, _ int, j *job) (time.Duration, bool) {
		if now > 6*time.Second && now < 9*time.Second {
			return j.work * 5 / 3, false
		}
		return j.work, false
	}
	disciplines := map[string]sharedQueue{
		"fifo":      {},
		"fifo-drop": {dropExpired: true},
		"lifo-drop": {dropExpired: true, lifo: true},
		"codel":     {dropExpired: true, targetWait: 20 * time.Millisecond},
	}
	groups := map[string]queue.Config{
		"group-patient":  {MaxWaitShare: 1, StandingAfter: -1, Limit: 1 << 20},
		"group-half":     {MaxWaitShare: 0.5, StandingAfter: -1, Limit: 1 << 20},
		"group-standing": {},
	}
	for name, b := range map[string]serviceModel{"steady": constantSpeed, "slower": slower} {
		for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(7, 1))
			jobs := poissonArrivals(rng, 12*time.Second, overloadRate(z), func(j *job) { j.deadline = deadline })
			best := 0
			good := map[string]int{}
			note := func(discipline string, r []result) {
				good[discipline] = count(r, func(r *result) bool { return duringOverload(r) && r.inTime() })
				best = max(best, good[discipline])
				refused := func(r *result) bool { return r.refused && duringOverload(r) }
				t.Logf("queue %s deadline %v %s: good %d p50 %v p99 %v late %d, p99 of time to refusal %v",
					name, deadline, discipline, good[discipline], quantile(r, 0.5, duringOverload), quantile(r, 0.99, duringOverload),
					count(r, func(r *result) bool { return !r.refused && !r.inTime() }), refusalLatencyP99(r, refused))
			}
			for discipline, proto := range disciplines {
				p := proto
				p.simulation, p.free, p.serve = &simulation{}, z.targets*z.slots, b
				note(discipline, simulate(p.simulation, jobs, &p))
			}
			for discipline, cfg := range groups {
				note(discipline, simulateGroup(Config{Queue: cfg}, 7, z, jobs, b))
			}
			is.True(good["group-standing"]*100 >= 95*best)
		}
	}
}

func refusalLatencyP99(rs []result, keep func(*result) bool) time.Duration {
	var picked []result
	for _, r := range rs {
		if keep(&r) {
			r.refused = false
			picked = append(picked, r)
		}
	}
	return quantile(picked, 0.99, anyResult)
}

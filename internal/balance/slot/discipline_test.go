package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// pool hands the slots of all targets to one queue of a plain discipline.
type pool struct {
	*script
	free   int
	queue  []job
	newest bool          // serve the newest first
	drop   bool          // drop what has passed its deadline
	target time.Duration // drop what has waited longer while the queue stands; zero means never
	empty  time.Duration // when the queue was last empty
	behave behaviour
}

func (p *pool) arrive(j job) {
	p.queue = append(p.queue, j)
	p.next()
}

func (p *pool) next() {
	for p.free > 0 && len(p.queue) > 0 {
		j := p.take()
		waited := p.now - j.arrived
		standing := p.target > 0 && p.now-p.empty > 10*p.target
		if (p.drop && waited > j.deadline) || (standing && waited > p.target) {
			p.end(j, true, false)
			continue
		}
		p.free--
		took, failed := p.behave(p.now, 0, &j)
		p.after(took, func() {
			p.free++
			p.end(j, false, failed)
			p.next()
		})
	}
	if len(p.queue) == 0 {
		p.empty = p.now
	}
}

func (p *pool) take() job {
	last := len(p.queue) - 1
	if p.newest {
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
	z := size{"20x2", 20, 2}
	slower := func(now time.Duration, _ int, j *job) (time.Duration, bool) {
		if now > 6*time.Second && now < 9*time.Second {
			return j.work * 5 / 3, false
		}
		return j.work, false
	}
	disciplines := map[string]pool{
		"fifo":      {},
		"fifo-drop": {drop: true},
		"lifo-drop": {drop: true, newest: true},
		"codel":     {drop: true, target: 20 * time.Millisecond},
	}
	groups := map[string]queue.Config{
		"group-patient":  {MaxWaitShare: 1, StandingAfter: -1, Limit: 1 << 20},
		"group-half":     {MaxWaitShare: 0.5, StandingAfter: -1, Limit: 1 << 20},
		"group-standing": {},
	}
	for name, b := range map[string]behaviour{"steady": plain, "slower": slower} {
		for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(7, 1))
			jobs := poisson(rng, 12*time.Second, crestRate(z), func(j *job) { j.deadline = deadline })
			best := 0
			good := map[string]int{}
			note := func(discipline string, r []result) {
				good[discipline] = count(r, func(r *result) bool { return atCrest(r) && r.inTime() })
				best = max(best, good[discipline])
				refused := func(r *result) bool { return r.refused && atCrest(r) }
				t.Logf("queue %s deadline %v %s: good %d p50 %v p99 %v late %d, p99 of time to refusal %v",
					name, deadline, discipline, good[discipline], quantile(r, 0.5, atCrest), quantile(r, 0.99, atCrest),
					count(r, func(r *result) bool { return !r.refused && !r.inTime() }), refusalTime(r, refused))
			}
			for discipline, proto := range disciplines {
				p := proto
				p.script, p.free, p.behave = &script{}, z.targets*z.slots, b
				note(discipline, play(p.script, jobs, &p))
			}
			for discipline, cfg := range groups {
				note(discipline, playGroup(Config{Queue: cfg}, 7, z, jobs, b))
			}
			is.True(good["group-standing"]*100 >= 95*best)
		}
	}
}

func refusalTime(rs []result, keep func(*result) bool) time.Duration {
	var picked []result
	for _, r := range rs {
		if keep(&r) {
			r.refused = false
			picked = append(picked, r)
		}
	}
	return quantile(picked, 0.99, any1)
}

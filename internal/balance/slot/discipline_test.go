package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// sharedQueue assigns the slots of all targets from one queue with a simple discipline, as a baseline for Group.
type sharedQueue struct {
	*simulation
	free        int
	queue       []job
	lifo        bool          // serve the newest first
	dropExpired bool          // drop jobs past their deadline
	targetWait  time.Duration // drop jobs that waited longer in a standing queue; zero means never
	lastEmpty   time.Duration // when the queue was last empty
	serve       serviceModel
}

func (q *sharedQueue) arrive(j job) {
	q.queue = append(q.queue, j)
	q.next()
}

func (q *sharedQueue) next() {
	for q.free > 0 && len(q.queue) > 0 {
		j := q.take()
		waited := q.now - j.arrived
		standing := q.targetWait > 0 && q.now-q.lastEmpty > 10*q.targetWait
		if (q.dropExpired && waited > j.deadline) || (standing && waited > q.targetWait) {
			q.end(j, true, false)
			continue
		}
		q.free--
		took, failed := q.serve(q.now, 0, &j)
		q.after(took, func() {
			q.free++
			q.end(j, false, failed)
			q.next()
		})
	}
	if len(q.queue) == 0 {
		q.lastEmpty = q.now
	}
}

func (q *sharedQueue) take() job {
	last := len(q.queue) - 1
	if q.lifo {
		j := q.queue[last]
		q.queue = q.queue[:last]
		return j
	}
	j := q.queue[0]
	q.queue = q.queue[1:]
	return j
}

// TestQueueDisciplinesUnderOverload compares the goodput of queue disciplines during overload: once with targets of
// constant speed, once with targets that lose 40% of their speed without notice while the load is highest.
func TestQueueDisciplinesUnderOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := serviceSize{"20x2", 20, 2}
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
		"group-wait-1":   {MaxWaitShare: 1, StandingAfter: -1, Limit: 1 << 20},
		"group-wait-0.5": {MaxWaitShare: 0.5, StandingAfter: -1, Limit: 1 << 20},
		"group-default":  {},
	}
	for name, model := range map[string]serviceModel{"constant": constantSpeed, "slower": slower} {
		for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(7, 1))
			jobs := poissonArrivals(rng, 12*time.Second, overloadRate(size), func(j *job) { j.deadline = deadline })
			best := 0
			good := map[string]int{}
			record := func(discipline string, r []result) {
				good[discipline] = count(r, func(r *result) bool { return duringOverload(r) && r.inTime() })
				best = max(best, good[discipline])
				refused := func(r *result) bool { return r.refused && duringOverload(r) }
				t.Logf("queue %s deadline %v %s: good %d p50 %v p99 %v late %d, p99 of time to refusal %v",
					name, deadline, discipline, good[discipline], quantile(r, 0.5, duringOverload), quantile(r, 0.99, duringOverload),
					count(r, func(r *result) bool { return !r.refused && !r.inTime() }), refusalLatencyP99(r, refused))
			}
			for discipline, base := range disciplines {
				q := base
				q.simulation, q.free, q.serve = &simulation{}, size.targets*size.slots, model
				record(discipline, simulate(q.simulation, jobs, &q))
			}
			for discipline, cfg := range groups {
				record(discipline, simulateGroup(Config{Queue: cfg}, 7, size, jobs, model))
			}
			is.True(good["group-default"]*100 >= 95*best)
		}
	}
}

// refusalLatencyP99 returns the 99th percentile of the time until the refusal, over the results that keep selects.
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

package dedupe

import (
	"context"
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

// referenceModel is the naive global table: it sees every run as the backend servers do.
type referenceModel struct {
	ran     map[string]time.Time // the latest run of a key
	answers map[string]map[string]bool
}

// simRun is a request that got leave to run.
type simRun struct {
	key    string
	origin *simHost
	ticket *Ticket
	sent   bool
}

func (sim *simulation) randomHost() *simHost {
	ids := sim.ids()
	if len(ids) == 0 {
		return nil
	}
	return sim.hosts[ids[sim.rand.IntN(len(ids))]]
}

func (sim *simulation) sendRequest() {
	taker := sim.randomHost()
	if taker == nil || taker.paused {
		return
	}
	key := "k" + strconv.Itoa(sim.rand.IntN(2))
	wait := time.Duration((1 + sim.rand.IntN(30))) * time.Second
	ticket, verdict, err := taker.dedup.Begin(context.Background(), sim.request(key, wait))
	if err != nil {
		sim.t.Fatalf("begin: %v", err)
	}
	verdictCounts[verdict.Kind.String()+string(verdict.Reason)]++
	switch verdict.Kind {
	case Proceed:
		sim.pending = append(sim.pending, &simRun{key: key, origin: taker, ticket: ticket})
	case Replay:
		if !sim.model.answers[key][string(verdict.Answer.Body)] {
			sim.t.Fatalf("seed %d: replayed %q, the runs answered %v", sim.seed, verdict.Answer.Body, sim.model.answers[key])
		}
	case Mismatch:
		sim.t.Fatal("mismatch of the same body")
	case Unavailable, InProgress, UnknownOutcome:
	}
}

// verdictCounts sums the verdicts over all schedules, to show what the schedules cover.
var verdictCounts = map[string]int{}

func (sim *simulation) request(key string, wait time.Duration) Request {
	return Request{
		ID:          ID{Caller: "dispatch", Service: "bookings", Key: key},
		Fingerprint: NewFingerprint("POST", "/book", []byte(key)),
		Deadline:    sim.now.Add(wait),
		HomeRegion:  testRegion,
		Window:      sim.window,
	}
}

// advanceRun takes one run a step further: it is sent, refused by the backend server, or finished.
func (sim *simulation) advanceRun() {
	if len(sim.pending) == 0 {
		return
	}
	i := sim.rand.IntN(len(sim.pending))
	r := sim.pending[i]
	if sim.hosts[r.origin.host.ID] != r.origin {
		sim.removePending(r)
		return
	}
	if r.origin.paused {
		return
	}
	if !r.sent {
		sim.sendRun(r)
		return
	}
	sim.removePending(r)
	if sim.rand.IntN(4) == 0 {
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Unknown})
		return
	}
	body := r.key + "@" + r.origin.host.ID
	if sim.model.answers[r.key] == nil {
		sim.model.answers[r.key] = map[string]bool{}
	}
	sim.model.answers[r.key][body] = true
	answer := Answer{Status: 201, Body: []byte(body)}
	_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Answer: answer})
}

func (sim *simulation) sendRun(r *simRun) {
	refused := !r.ticket.MaySend(sim.now) || sim.rand.IntN(4) == 0
	if refused {
		sim.removePending(r)
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun})
		return
	}
	r.sent = true
	earlier, ran := sim.model.ran[r.key]
	sim.model.ran[r.key] = sim.now
	if ran && sim.now.Sub(earlier) < sim.window {
		sim.t.Fatalf("seed %d: key %s ran again after %s", sim.seed, r.key, sim.now.Sub(earlier))
	}
}

func (sim *simulation) removePending(r *simRun) {
	for i, p := range sim.pending {
		if p == r {
			sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
			return
		}
	}
}

func (sim *simulation) crash() {
	if h := sim.randomHost(); h != nil && len(sim.hosts) > 2 {
		delete(sim.hosts, h.host.ID)
		id := h.host.ID
		sim.delayed = append(sim.delayed, func() { sim.declareDead(id, h.host.Incarnation) })
	}
}

// declareDead is what the platform's list says of a crashed host after a while.
func (sim *simulation) declareDead(id string, incarnation uint64) {
	if m := sim.members[id]; m.Incarnation == incarnation {
		m.State = member.Dead
		sim.members[id] = m
	}
}

// restart replaces a host, whether it is running or not.
func (sim *simulation) restart() {
	id := "h" + strconv.Itoa(sim.rand.IntN(maxHosts))
	site := "s" + strconv.Itoa(int(id[1]-'0')%3)
	sim.start(id, site, time.Hour)
}

// leave stops a host gracefully: it announces that it leaves and waits for a while.
func (sim *simulation) leave() {
	h := sim.randomHost()
	if h == nil || h.paused || len(sim.hosts) <= 2 {
		return
	}
	m := sim.members[h.host.ID]
	m.State = member.Leaving
	sim.members[h.host.ID] = m
	h.dedup.startLeaving()
	sim.delayed = append(sim.delayed, func() {
		if sim.hosts[h.host.ID] != h {
			return
		}
		delete(sim.hosts, h.host.ID)
		sim.declareDead(h.host.ID, h.host.Incarnation)
	})
}

func (sim *simulation) gossip() {
	h := sim.randomHost()
	if h == nil {
		return
	}
	if sim.rand.IntN(2) == 0 {
		sim.syncMembers(h)
		return
	}
	sim.syncMember(h, "h"+strconv.Itoa(sim.rand.IntN(maxHosts)))
}

func (sim *simulation) pull() {
	if h := sim.randomHost(); h != nil && !h.paused {
		h.dedup.pullOnce(context.Background())
	}
}

func (sim *simulation) pause() {
	if h := sim.randomHost(); h != nil {
		h.paused = !h.paused
	}
}

func (sim *simulation) changePartition() {
	if h := sim.randomHost(); h != nil {
		h.partition = sim.rand.IntN(2)
	}
}

func (sim *simulation) wait() {
	sim.advance(time.Duration((1 + sim.rand.IntN(60))) * timeStep)
}

func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	i := sim.rand.IntN(len(sim.delayed))
	f := sim.delayed[i]
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
	f()
}

func (sim *simulation) runTask() {
	if len(sim.tasks) == 0 {
		return
	}
	f := sim.tasks[0]
	sim.tasks = sim.tasks[1:]
	f()
}

func (sim *simulation) waitBriefly() { sim.advance(timeStep) }

// simActions lists what may happen. Common actions stand in the list more than once, because a
// schedule may leave out some.
func simActions() []func(*simulation) {
	return []func(*simulation){
		(*simulation).sendRequest, (*simulation).sendRequest, (*simulation).sendRequest, (*simulation).advanceRun, (*simulation).advanceRun,
		(*simulation).gossip, (*simulation).gossip, (*simulation).pull, (*simulation).pull, (*simulation).pull,
		(*simulation).runTask, (*simulation).deliverDelayed, (*simulation).wait, (*simulation).waitBriefly,
		(*simulation).crash, (*simulation).restart, (*simulation).leave, (*simulation).pause, (*simulation).changePartition,
	}
}

var (
	firstSeed = flag.Uint64("dedupe.seed", 1, "first seed of the schedules")
	schedules = flag.Uint64("dedupe.schedules", 0, "number of schedules, 0 for the usual number")
)

const (
	defaultSchedules = 1000
	shortSchedules   = 200
	scheduleSteps    = 150
)

// TestAtMostOneRun runs schedules of crashes, pauses, partitions, restarts, leaves, lost and late
// messages and differing views, with callers that send their keys again through any host. Replay one
// with -dedupe.seed=N -dedupe.schedules=1.
func TestAtMostOneRun(t *testing.T) {
	n := *schedules
	switch {
	case n > 0:
	case testing.Short():
		n = shortSchedules
	default:
		n = defaultSchedules
	}
	for seed := *firstSeed; seed < *firstSeed+n; seed++ {
		sim := newSimulation(t, seed)
		for range scheduleSteps {
			sim.step()
		}
	}
	t.Log(verdictCounts)
}

// TestFreshKeyRunsInCalm shows that the refusals end once the faults do.
func TestFreshKeyRunsInCalm(t *testing.T) {
	for seed := range uint64(100) {
		sim := newSimulation(t, seed)
		sim.faultFree = true
		for _, id := range sim.ids() {
			_, verdict, err := sim.hosts[id].dedup.Begin(context.Background(), sim.request("fresh-"+id, time.Minute))
			if err != nil || verdict.Kind != Proceed {
				t.Fatalf("%s: %v %v %v", id, verdict.Kind, verdict.Reason, err)
			}
		}
	}
}

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

// referenceModel records the runs of all keys as the backend servers see them.
type referenceModel struct {
	lastRun   map[string]time.Time       // by key
	responses map[string]map[string]bool // by key and body
}

// simRun is a request that may be run.
type simRun struct {
	key    string
	origin *simHost
	ticket *Ticket
	sent   bool
}

// randomHost returns a running host, or nil if there is none.
func (sim *simulation) randomHost() *simHost {
	ids := sim.ids()
	if len(ids) == 0 {
		return nil
	}
	return sim.hosts[ids[sim.rand.IntN(len(ids))]]
}

// sendRequest sends a request with one of two keys through a random host.
func (sim *simulation) sendRequest() {
	origin := sim.randomHost()
	if origin == nil || origin.paused {
		return
	}
	key := "k" + strconv.Itoa(sim.rand.IntN(2))
	wait := time.Duration((1 + sim.rand.IntN(30))) * time.Second
	ticket, verdict, err := origin.dedup.Begin(context.Background(), sim.request(key, wait))
	if err != nil {
		sim.t.Fatalf("begin: %v", err)
	}
	verdictCounts[verdict.Kind.String()+string(verdict.Reason)]++
	switch verdict.Kind {
	case Proceed:
		sim.pending = append(sim.pending, &simRun{key: key, origin: origin, ticket: ticket})
	case Replay:
		if !sim.model.responses[key][string(verdict.Response.Body)] {
			sim.t.Fatalf("seed %d: replayed %q, but the runs answered %v", sim.seed, verdict.Response.Body, sim.model.responses[key])
		}
	case Mismatch:
		sim.t.Fatal("got Mismatch for a request with the same body")
	case Unavailable, InProgress, UnknownOutcome:
	}
}

// verdictCounts counts the verdicts of all schedules, to show what the schedules cover.
var verdictCounts = map[string]int{}

// request returns a request for the key with a deadline after wait.
func (sim *simulation) request(key string, wait time.Duration) Request {
	return Request{
		ID:          ID{Caller: "dispatch", Service: "bookings", Key: key},
		Fingerprint: NewFingerprint("POST", "/book", []byte(key)),
		Deadline:    sim.now.Add(wait),
		HomeRegion:  testRegion,
		Window:      sim.window,
	}
}

// advanceRun advances a random pending run by one step: it is sent, refused by the backend server, or
// finished. A run whose host has stopped is removed.
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
	if sim.model.responses[r.key] == nil {
		sim.model.responses[r.key] = map[string]bool{}
	}
	sim.model.responses[r.key][body] = true
	resp := Response{Status: 201, Body: []byte(body)}
	_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Response: resp})
}

// sendRun sends a run, unless MaySend or the backend server refuses it. It fails the test if the key
// has run before within the window.
func (sim *simulation) sendRun(r *simRun) {
	refused := !r.ticket.MaySend(sim.now) || sim.rand.IntN(4) == 0
	if refused {
		sim.removePending(r)
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun})
		return
	}
	r.sent = true
	earlier, ran := sim.model.lastRun[r.key]
	sim.model.lastRun[r.key] = sim.now
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

// crash stops a random host and declares it dead later. At least two hosts keep running.
func (sim *simulation) crash() {
	if h := sim.randomHost(); h != nil && len(sim.hosts) > 2 {
		delete(sim.hosts, h.host.ID)
		id := h.host.ID
		sim.delayed = append(sim.delayed, func() { sim.declareDead(id, h.host.Incarnation) })
	}
}

// declareDead marks the host as dead in the membership if it is still the same incarnation.
func (sim *simulation) declareDead(id string, incarnation uint64) {
	if m := sim.members[id]; m.Incarnation == incarnation {
		m.State = member.Dead
		sim.members[id] = m
	}
}

// restart starts a new incarnation of a random host, whether the host is running or not.
func (sim *simulation) restart() {
	id := "h" + strconv.Itoa(sim.rand.IntN(maxHosts))
	site := "s" + strconv.Itoa(int(id[1]-'0')%3)
	sim.start(id, site, time.Hour)
}

// leave stops a random host gracefully: the host announces that it leaves, and stops later.
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

// gossip updates a random host's knowledge of one member or of all members.
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

// pause pauses or resumes a random host.
func (sim *simulation) pause() {
	if h := sim.randomHost(); h != nil {
		h.paused = !h.paused
	}
}

// changePartition moves a random host to a random network partition.
func (sim *simulation) changePartition() {
	if h := sim.randomHost(); h != nil {
		h.partition = sim.rand.IntN(2)
	}
}

func (sim *simulation) wait() {
	sim.advance(time.Duration((1 + sim.rand.IntN(60))) * timeStep)
}

// deliverDelayed delivers a random one of the delayed messages and declarations.
func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	i := sim.rand.IntN(len(sim.delayed))
	f := sim.delayed[i]
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
	f()
}

// runTask runs the oldest background task.
func (sim *simulation) runTask() {
	if len(sim.tasks) == 0 {
		return
	}
	f := sim.tasks[0]
	sim.tasks = sim.tasks[1:]
	f()
}

func (sim *simulation) waitBriefly() { sim.advance(timeStep) }

// simActions returns the possible actions of a schedule. Common actions are listed more than once,
// because a schedule may omit some of the entries.
func simActions() []func(*simulation) {
	return []func(*simulation){
		(*simulation).sendRequest, (*simulation).sendRequest, (*simulation).sendRequest,
		(*simulation).advanceRun, (*simulation).advanceRun,
		(*simulation).gossip, (*simulation).gossip, (*simulation).pull, (*simulation).pull, (*simulation).pull,
		(*simulation).runTask, (*simulation).deliverDelayed, (*simulation).wait, (*simulation).waitBriefly,
		(*simulation).crash, (*simulation).restart, (*simulation).leave, (*simulation).pause, (*simulation).changePartition,
	}
}

var (
	firstSeed = flag.Uint64("dedupe.seed", 1, "first seed of the schedules")
	schedules = flag.Uint64("dedupe.schedules", 0, "number of schedules, 0 for the default number")
)

const (
	defaultSchedules = 1000
	shortSchedules   = 200
	scheduleSteps    = 150
)

// TestAtMostOneRun runs random schedules of crashes, pauses, partitions, restarts, leaves, lost and
// delayed messages and differing views, while callers repeat requests with the same keys through any
// host. No key may run twice within its window. Replay a schedule with -dedupe.seed=N
// -dedupe.schedules=1.
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

// TestNewKeyRunsWithoutFaults checks that new keys are not refused in the absence of faults.
func TestNewKeyRunsWithoutFaults(t *testing.T) {
	for seed := range uint64(100) {
		sim := newSimulation(t, seed)
		sim.faultFree = true
		for _, id := range sim.ids() {
			_, verdict, err := sim.hosts[id].dedup.Begin(context.Background(), sim.request("fresh-"+id, time.Minute))
			if err != nil || verdict.Kind != Proceed {
				t.Fatalf("host %s: got verdict %v %v, error %v", id, verdict.Kind, verdict.Reason, err)
			}
		}
	}
}

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
	origin  *simHost
	ticket *Ticket
	sent   bool
}

func (w *simulation) randomHost() *simHost {
	ids := w.ids()
	if len(ids) == 0 {
		return nil
	}
	return w.hosts[ids[w.rand.IntN(len(ids))]]
}

func (w *simulation) sendRequest() {
	taker := w.randomHost()
	if taker == nil || taker.paused {
		return
	}
	key := "k" + strconv.Itoa(w.rand.IntN(2))
	wait := time.Duration((1 + w.rand.IntN(30))) * time.Second
	ticket, verdict, err := taker.dedup.Begin(context.Background(), w.request(key, wait))
	if err != nil {
		w.t.Fatalf("begin: %v", err)
	}
	verdictCounts[verdict.Kind.String()+string(verdict.Reason)]++
	switch verdict.Kind {
	case Proceed:
		w.pending = append(w.pending, &simRun{key: key, origin: taker, ticket: ticket})
	case Replay:
		if !w.model.answers[key][string(verdict.Answer.Body)] {
			w.t.Fatalf("seed %d: replayed %q, the runs answered %v", w.seed, verdict.Answer.Body, w.model.answers[key])
		}
	case Mismatch:
		w.t.Fatal("mismatch of the same body")
	case Unavailable, InProgress, UnknownOutcome:
	}
}

// verdictCounts sums the verdicts over all schedules, to show what the schedules cover.
var verdictCounts = map[string]int{}

func (w *simulation) request(key string, wait time.Duration) Request {
	return Request{
		ID:          ID{Caller: "dispatch", Service: "bookings", Key: key},
		Fingerprint: NewFingerprint("POST", "/book", []byte(key)),
		Deadline:    w.now.Add(wait),
		HomeRegion:  testRegion,
		Window:      w.window,
	}
}

// advanceRun takes one run a step further: it is sent, refused by the backend server, or finished.
func (w *simulation) advanceRun() {
	if len(w.pending) == 0 {
		return
	}
	i := w.rand.IntN(len(w.pending))
	r := w.pending[i]
	if w.hosts[r.origin.host.ID] != r.origin {
		w.removePending(r)
		return
	}
	if r.origin.paused {
		return
	}
	if !r.sent {
		w.sendRun(r)
		return
	}
	w.removePending(r)
	if w.rand.IntN(4) == 0 {
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Unknown})
		return
	}
	body := r.key + "@" + r.origin.host.ID
	if w.model.answers[r.key] == nil {
		w.model.answers[r.key] = map[string]bool{}
	}
	w.model.answers[r.key][body] = true
	answer := Answer{Status: 201, Body: []byte(body)}
	_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Answer: answer})
}

func (w *simulation) sendRun(r *simRun) {
	refused := !r.ticket.MaySend(w.now) || w.rand.IntN(4) == 0
	if refused {
		w.removePending(r)
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun})
		return
	}
	r.sent = true
	earlier, ran := w.model.ran[r.key]
	w.model.ran[r.key] = w.now
	if ran && w.now.Sub(earlier) < w.window {
		w.t.Fatalf("seed %d: key %s ran again after %s", w.seed, r.key, w.now.Sub(earlier))
	}
}

func (w *simulation) removePending(r *simRun) {
	for i, p := range w.pending {
		if p == r {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return
		}
	}
}

func (w *simulation) crash() {
	if h := w.randomHost(); h != nil && len(w.hosts) > 2 {
		delete(w.hosts, h.host.ID)
		id := h.host.ID
		w.delayed = append(w.delayed, func() { w.declareDead(id, h.host.Incarnation) })
	}
}

// declareDead is what the platform's list says of a crashed host after a while.
func (w *simulation) declareDead(id string, incarnation uint64) {
	if m := w.members[id]; m.Incarnation == incarnation {
		m.State = member.Dead
		w.members[id] = m
	}
}

// restart replaces a host, whether it is running or not.
func (w *simulation) restart() {
	id := "h" + strconv.Itoa(w.rand.IntN(maxHosts))
	site := "s" + strconv.Itoa(int(id[1]-'0')%3)
	w.start(id, site, time.Hour)
}

// leave stops a host gracefully: it announces that it leaves and waits for a while.
func (w *simulation) leave() {
	h := w.randomHost()
	if h == nil || h.paused || len(w.hosts) <= 2 {
		return
	}
	m := w.members[h.host.ID]
	m.State = member.Leaving
	w.members[h.host.ID] = m
	h.dedup.startLeaving()
	w.delayed = append(w.delayed, func() {
		if w.hosts[h.host.ID] != h {
			return
		}
		delete(w.hosts, h.host.ID)
		w.declareDead(h.host.ID, h.host.Incarnation)
	})
}

func (w *simulation) gossip() {
	h := w.randomHost()
	if h == nil {
		return
	}
	if w.rand.IntN(2) == 0 {
		w.syncMembers(h)
		return
	}
	w.syncMember(h, "h"+strconv.Itoa(w.rand.IntN(maxHosts)))
}

func (w *simulation) pull() {
	if h := w.randomHost(); h != nil && !h.paused {
		h.dedup.pullOnce(context.Background())
	}
}

func (w *simulation) pause() {
	if h := w.randomHost(); h != nil {
		h.paused = !h.paused
	}
}

func (w *simulation) changePartition() {
	if h := w.randomHost(); h != nil {
		h.partition = w.rand.IntN(2)
	}
}

func (w *simulation) wait() {
	w.advance(time.Duration((1 + w.rand.IntN(60))) * timeStep)
}

func (w *simulation) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := w.rand.IntN(len(w.delayed))
	f := w.delayed[i]
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	f()
}

func (w *simulation) runTask() {
	if len(w.tasks) == 0 {
		return
	}
	f := w.tasks[0]
	w.tasks = w.tasks[1:]
	f()
}

func (w *simulation) waitBriefly() { w.advance(timeStep) }

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
	shortSchedules = 200
	scheduleSteps  = 150
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
		w := newSimulation(t, seed)
		for range scheduleSteps {
			w.step()
		}
	}
	t.Log(verdictCounts)
}

// TestFreshKeyRunsInCalm shows that the refusals end once the faults do.
func TestFreshKeyRunsInCalm(t *testing.T) {
	for seed := range uint64(100) {
		w := newSimulation(t, seed)
		w.faultFree = true
		for _, id := range w.ids() {
			_, verdict, err := w.hosts[id].dedup.Begin(context.Background(), w.request("fresh-"+id, time.Minute))
			if err != nil || verdict.Kind != Proceed {
				t.Fatalf("%s: %v %v %v", id, verdict.Kind, verdict.Reason, err)
			}
		}
	}
}

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

// ledger is the naive global table: it sees every run as the backend servers do.
type ledger struct {
	ran     map[string]time.Time // the latest run of a key
	answers map[string]map[string]bool
}

// simRun is a request that got leave to run.
type simRun struct {
	key    string
	taker  *simHost
	ticket *Ticket
	sent   bool
}

func (w *world) anyHost() *simHost {
	ids := w.ids()
	if len(ids) == 0 {
		return nil
	}
	return w.hosts[ids[w.rand.IntN(len(ids))]]
}

func (w *world) send() {
	taker := w.anyHost()
	if taker == nil || taker.paused {
		return
	}
	key := "k" + strconv.Itoa(w.rand.IntN(2))
	wait := time.Duration((1 + w.rand.IntN(30))) * time.Second
	ticket, verdict, err := taker.keeper.Begin(context.Background(), w.request(key, wait))
	if err != nil {
		w.t.Fatalf("begin: %v", err)
	}
	counts[verdict.Kind.String()+string(verdict.Reason)]++
	switch verdict.Kind {
	case Proceed:
		w.pending = append(w.pending, &simRun{key: key, taker: taker, ticket: ticket})
	case Replay:
		if !w.ledger.answers[key][string(verdict.Answer.Body)] {
			w.t.Fatalf("seed %d: replayed %q, the runs answered %v", w.seed, verdict.Answer.Body, w.ledger.answers[key])
		}
	case Mismatch:
		w.t.Fatal("mismatch of the same body")
	case Unavailable, InProgress, UnknownOutcome:
	}
}

// counts sums the verdicts over all schedules, to show what the schedules cover.
var counts = map[string]int{}

func (w *world) request(key string, wait time.Duration) Request {
	return Request{
		ID:          ID{Caller: "dispatch", Service: "bookings", Key: key},
		Fingerprint: NewFingerprint("POST", "/book", []byte(key)),
		Deadline:    w.now.Add(wait),
		HomeRegion:  testRegion,
		Window:      w.window,
	}
}

// proceed takes one run a step further: it is sent, refused by the backend server, or finished.
func (w *world) proceed() {
	if len(w.pending) == 0 {
		return
	}
	i := w.rand.IntN(len(w.pending))
	r := w.pending[i]
	if w.hosts[r.taker.host.ID] != r.taker {
		w.drop(r)
		return
	}
	if r.taker.paused {
		return
	}
	if !r.sent {
		w.submit(r)
		return
	}
	w.drop(r)
	if w.rand.IntN(4) == 0 {
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Unknown})
		return
	}
	body := r.key + "@" + r.taker.host.ID
	if w.ledger.answers[r.key] == nil {
		w.ledger.answers[r.key] = map[string]bool{}
	}
	w.ledger.answers[r.key][body] = true
	answer := Answer{Status: 201, Body: []byte(body)}
	_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Answer: answer})
}

func (w *world) submit(r *simRun) {
	refused := !r.ticket.MaySend(w.now) || w.rand.IntN(4) == 0
	if refused {
		w.drop(r)
		_ = r.ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun})
		return
	}
	r.sent = true
	earlier, ran := w.ledger.ran[r.key]
	w.ledger.ran[r.key] = w.now
	if ran && w.now.Sub(earlier) < w.window {
		w.t.Fatalf("seed %d: key %s ran again after %s", w.seed, r.key, w.now.Sub(earlier))
	}
}

func (w *world) drop(r *simRun) {
	for i, p := range w.pending {
		if p == r {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return
		}
	}
}

func (w *world) crash() {
	if h := w.anyHost(); h != nil && len(w.hosts) > 2 {
		delete(w.hosts, h.host.ID)
		id := h.host.ID
		w.late = append(w.late, func() { w.bury(id, h.host.Incarnation) })
	}
}

// bury is what the platform's list says of a crashed host after a while.
func (w *world) bury(id string, incarnation uint64) {
	if m := w.truth[id]; m.Incarnation == incarnation {
		m.State = member.Dead
		w.truth[id] = m
	}
}

// restart replaces a host, whether it is running or not.
func (w *world) restart() {
	id := "h" + strconv.Itoa(w.rand.IntN(maxHosts))
	site := "s" + strconv.Itoa(int(id[1]-'0')%3)
	w.start(id, site, time.Hour)
}

// leave stops a host gracefully: it announces that it leaves and waits for a while.
func (w *world) leave() {
	h := w.anyHost()
	if h == nil || h.paused || len(w.hosts) <= 2 {
		return
	}
	m := w.truth[h.host.ID]
	m.State = member.Leaving
	w.truth[h.host.ID] = m
	h.keeper.startLeaving()
	w.late = append(w.late, func() {
		if w.hosts[h.host.ID] != h {
			return
		}
		delete(w.hosts, h.host.ID)
		w.bury(h.host.ID, h.host.Incarnation)
	})
}

func (w *world) gossip() {
	h := w.anyHost()
	if h == nil {
		return
	}
	if w.rand.IntN(2) == 0 {
		w.learnAll(h)
		return
	}
	w.learn(h, "h"+strconv.Itoa(w.rand.IntN(maxHosts)))
}

func (w *world) pull() {
	if h := w.anyHost(); h != nil && !h.paused {
		h.keeper.pullStep(context.Background())
	}
}

func (w *world) pause() {
	if h := w.anyHost(); h != nil {
		h.paused = !h.paused
	}
}

func (w *world) split() {
	if h := w.anyHost(); h != nil {
		h.side = w.rand.IntN(2)
	}
}

func (w *world) wait() {
	w.advance(time.Duration((1 + w.rand.IntN(60))) * tickStep)
}

func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.rand.IntN(len(w.late))
	f := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	f()
}

func (w *world) background() {
	if len(w.tasks) == 0 {
		return
	}
	f := w.tasks[0]
	w.tasks = w.tasks[1:]
	f()
}

func (w *world) waitBriefly() { w.advance(tickStep) }

// simActions lists what may happen. Common actions stand in the list more than once, because a
// schedule may leave out some.
func simActions() []func(*world) {
	return []func(*world){
		(*world).send, (*world).send, (*world).send, (*world).proceed, (*world).proceed,
		(*world).gossip, (*world).gossip, (*world).pull, (*world).pull, (*world).pull,
		(*world).background, (*world).deliverLate, (*world).wait, (*world).waitBriefly,
		(*world).crash, (*world).restart, (*world).leave, (*world).pause, (*world).split,
	}
}

var (
	firstSeed = flag.Uint64("dedupe.seed", 1, "first seed of the schedules")
	schedules = flag.Uint64("dedupe.schedules", 0, "number of schedules, 0 for the usual number")
)

const (
	usualSchedules = 1000
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
		n = usualSchedules
	}
	for seed := *firstSeed; seed < *firstSeed+n; seed++ {
		w := newWorld(t, seed)
		for range scheduleSteps {
			w.step()
		}
	}
	t.Log(counts)
}

// TestFreshKeyRunsInCalm shows that the refusals end once the faults do.
func TestFreshKeyRunsInCalm(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(t, seed)
		w.silent = true
		for _, id := range w.ids() {
			_, verdict, err := w.hosts[id].keeper.Begin(context.Background(), w.request("fresh-"+id, time.Minute))
			if err != nil || verdict.Kind != Proceed {
				t.Fatalf("%s: %v %v %v", id, verdict.Kind, verdict.Reason, err)
			}
		}
	}
}

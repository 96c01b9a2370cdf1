package dedupe

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

// newFaultFreeSimulation returns a world of n hosts at three sites in which nothing happens by chance.
func newFaultFreeSimulation(t *testing.T, n int, window time.Duration) *simulation {
	w := newSimulation(t, 1)
	w.hosts, w.members = map[string]*simHost{}, map[string]member.Member{}
	w.faultFree = true
	w.window = window
	w.populate(n, 3)
	return w
}

// keyHeldBy returns a key whose holders among the hosts are the given ones, in any order.
func (w *simulation) keyHeldBy(among []string, want ...string) string {
	var hosts []Host
	for _, id := range among {
		hosts = append(hosts, w.hosts[id].host)
	}
	set := newHostSet(hosts)
	for i := range 100_000 {
		key := "k" + strconv.Itoa(i)
		pair := set.holders(w.request(key, time.Second).ID)
		if pair.has(want[0]) && pair.has(want[1]) {
			return key
		}
	}
	w.t.Fatal("no such key")
	return ""
}

func (w *simulation) begin(id, key string, wait time.Duration) (*Ticket, Verdict) {
	w.t.Helper()
	ticket, v, err := w.hosts[id].dedup.Begin(context.Background(), w.request(key, wait))
	if err != nil {
		w.t.Fatal(err)
	}
	return ticket, v
}

func (w *simulation) mustProceed(id, key string, wait time.Duration) *Ticket {
	w.t.Helper()
	ticket, v := w.begin(id, key, wait)
	if v.Kind != Proceed || !ticket.MaySend(w.now) {
		w.t.Fatalf("%s at %s: %v %v", key, id, v.Kind, v.Reason)
	}
	return ticket
}

func (w *simulation) finishAnswered(ticket *Ticket) {
	w.t.Helper()
	res := Result{Outcome: outcome.Answered, Answer: Answer{Status: 201, Body: []byte("done")}}
	if err := ticket.Finish(context.Background(), res); err != nil {
		w.t.Fatal(err)
	}
}

// kill removes hosts at once; the membership learns of it when bury is called.
func (w *simulation) kill(ids ...string) {
	for _, id := range ids {
		delete(w.hosts, id)
	}
}

func (w *simulation) declareAllDead(ids ...string) {
	for _, id := range ids {
		w.declareDead(id, w.members[id].Incarnation)
	}
}

func (w *simulation) syncAndPull() {
	for _, id := range w.ids() {
		w.syncMembers(w.hosts[id])
	}
	for range 3 {
		for _, id := range w.ids() {
			w.hosts[id].dedup.pullOnce(context.Background())
		}
	}
}

func TestSecondSendIsReplayedByAnyHost(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	ticket := w.mustProceed("h0", "k", time.Minute)
	for _, id := range w.ids() {
		_, v := w.begin(id, "k", time.Minute)
		is.Equal(v.Kind, InProgress)
	}
	w.finishAnswered(ticket)
	for _, id := range w.ids() {
		_, v := w.begin(id, "k", time.Minute)
		is.Equal(v.Kind, Replay)
		is.Equal(string(v.Answer.Body), "done")
	}
	req := w.request("k", time.Minute)
	req.Fingerprint = NewFingerprint("POST", "/book", []byte("other"))
	for _, id := range w.ids() {
		_, v, err := w.hosts[id].dedup.Begin(context.Background(), req)
		is.NoErr(err)
		is.Equal(v.Kind, Mismatch)
	}
}

func TestNotRunFreesTheKeyAndUnknownKeepsIt(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 3, time.Hour)
	ticket := w.mustProceed("h0", "k", time.Minute)
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	w.mustProceed("h1", "k", time.Second)
	w.kill("h1")
	w.advance(time.Second + defaultGracePeriod)
	_, v := w.begin("h2", "k", time.Minute)
	is.Equal(v.Kind, UnknownOutcome)
}

// Records of a home that dies are taken over from the second holder.
func TestHomeDies(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	key := w.keyHeldBy(w.ids(), "h1", "h2")
	w.finishAnswered(w.mustProceed("h0", key, time.Minute))
	w.kill("h1")
	w.declareAllDead("h1")
	w.syncAndPull()
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// Two joined hosts that know each other, but whom the old holders don't know yet, must not accept
// a key that the old holders still accept.
func TestNewHoldersWaitUntilOldOnesKnowThem(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	w.start("h4", "s1", time.Hour)
	w.start("h5", "s2", time.Hour)
	key := w.keyHeldBy(w.ids(), "h4", "h5")
	for range 2 {
		w.syncMembers(w.hosts["h4"])
		w.syncMembers(w.hosts["h5"])
		w.hosts["h4"].dedup.pullOnce(context.Background())
		w.hosts["h5"].dedup.pullOnce(context.Background())
	}
	w.mustProceed("h0", key, time.Minute)
	_, v := w.begin("h4", key, time.Minute)
	is.Equal(v.Kind, Unavailable)
	w.syncAndPull()
	_, v = w.begin("h4", key, time.Minute)
	is.Equal(v.Kind, InProgress)
}

// Both holders die at once. The survivors, and hosts that join before or after the survivors have
// noticed, refuse the key for its window.
func TestBothHoldersDieAtOnce(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		is := is.New(t)
		w := newFaultFreeSimulation(t, 4, time.Minute)
		w.start("h4", "s1", time.Hour)
		w.start("h5", "s2", time.Hour)
		joined := []string{"h2", "h3", "h4", "h5"}
		key := ""
		for i := 0; key == ""; i++ {
			id := w.request("k"+strconv.Itoa(i), time.Second).ID
			old := newHostSet([]Host{w.hosts["h0"].host, w.hosts["h1"].host, w.hosts["h2"].host, w.hosts["h3"].host})
			next := newHostSet([]Host{w.hosts["h2"].host, w.hosts["h3"].host, w.hosts["h4"].host, w.hosts["h5"].host})
			if p, q := old.holders(id), next.holders(id); p.has("h0") && p.has("h1") && q.has("h4") && q.has("h5") {
				key = id.Key
			}
		}
		h4, h5 := w.hosts["h4"], w.hosts["h5"]
		m4, m5 := w.members["h4"], w.members["h5"]
		w.kill("h4", "h5")
		delete(w.members, "h4")
		delete(w.members, "h5")
		w.mustProceed("h3", key, time.Second)
		w.hosts["h3"].dedup.table.delete(w.request(key, time.Second).ID) // the taker's copy is not what is tested
		w.kill("h0", "h1")
		w.declareAllDead("h0", "h1")
		if noticed {
			w.syncAndPull()
		}
		w.hosts["h4"], w.hosts["h5"], w.members["h4"], w.members["h5"] = h4, h5, m4, m5
		for _, id := range joined {
			w.syncMembers(w.hosts[id])
		}
		h5.dedup.pullOnce(context.Background())
		h4.dedup.pullOnce(context.Background())
		w.syncAndPull()
		for _, id := range joined {
			_, v := w.begin(id, key, time.Second)
			is.Equal(v.Reason, ReasonRecordsLost)
		}
		w.advance(2 * time.Minute)
		_, v := w.begin("h2", key, time.Second)
		is.Equal(v.Kind, Proceed)
	}
}

// A run that outlives the window keeps its key from the loss of its holders to its own end.
func TestLossOutlastsRunsInFlight(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Second)
	key := w.keyHeldBy(w.ids(), "h1", "h2")
	w.mustProceed("h0", key, time.Minute)
	w.hosts["h0"].dedup.table.delete(w.request(key, time.Second).ID)
	w.kill("h1", "h2")
	w.declareAllDead("h1", "h2")
	w.syncAndPull()
	w.advance(30 * time.Second)
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// A whole region that is replaced at once knows nothing and refuses keys for the cold hold.
func TestWholeRegionReplaced(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 3, time.Hour)
	w.mustProceed("h0", "k", time.Second)
	for _, id := range w.ids() {
		w.start(id, w.hosts[id].host.Site, time.Minute)
	}
	w.syncAndPull()
	_, v := w.begin("h1", "k", time.Second)
	is.Equal(v.Reason, ReasonHandover)
	w.advance(time.Minute)
	_, v = w.begin("h1", "k", time.Second)
	is.Equal(v.Kind, Proceed)
}

// Two hosts that start while they know only each other take themselves for the whole region once they
// have reached it, not before.
func TestHostsThatHaveNotJoinedAreNotWarm(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	key := w.keyHeldBy(w.ids(), "h0", "h1")
	w.mustProceed("h2", key, time.Minute)
	joining := []string{"h4", "h5"}
	for _, id := range joining {
		w.start(id, "s1", 0)
		h := w.hosts[id]
		h.partition = 1
		h.lastMajorityContact = w.now.Add(-time.Hour)
		h.knownMembers = map[string]member.Member{"h4": w.members["h4"], "h5": w.members["h5"]}
		h.knownMembers["h5"] = member.Member{ID: "h5", Incarnation: w.lastIncarnation, Region: testRegion, Site: "s1"}
	}
	w.hosts["h4"].knownMembers["h5"] = w.members["h5"]
	for _, id := range joining {
		w.hosts[id].publish()
		w.hosts[id].dedup.pullOnce(context.Background())
	}
	for _, id := range joining {
		w.hosts[id].dedup.tick()
		is.True(!w.hosts[id].dedup.handover.warm)
		is.True(!w.hosts[id].dedup.Stats().Ready)
	}
}

// Both holders restart so fast that nobody believed them dead.
func TestBothHoldersRestart(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	key := w.keyHeldBy(w.ids(), "h1", "h2")
	w.mustProceed("h1", key, time.Second)
	w.start("h1", w.hosts["h1"].host.Site, time.Hour)
	w.start("h2", w.hosts["h2"].host.Site, time.Hour)
	w.syncAndPull()
	_, v := w.begin("h3", key, time.Second)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// Both holders leave gracefully; their records move.
func TestBothHoldersLeave(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 4, time.Hour)
	key := w.keyHeldBy(w.ids(), "h1", "h2")
	w.finishAnswered(w.mustProceed("h0", key, time.Minute))
	for _, id := range []string{"h1", "h2"} {
		m := w.members[id]
		m.State = member.Leaving
		w.members[id] = m
		w.hosts[id].dedup.startLeaving()
	}
	is.True(len(w.hosts["h1"].dedup.hostsNotPulled()) > 0)
	w.syncAndPull()
	is.Equal(len(w.hosts["h1"].dedup.hostsNotPulled()), 0)
	is.Equal(len(w.hosts["h2"].dedup.hostsNotPulled()), 0)
	is.NoErr(w.hosts["h1"].dedup.Leave(context.Background()))
	is.NoErr(w.hosts["h2"].dedup.Leave(context.Background()))
	w.kill("h1", "h2")
	w.declareAllDead("h1", "h2")
	w.syncAndPull()
	w.hosts["h0"].dedup.table.delete(w.request(key, time.Second).ID)
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// interruptHolders cuts h0, h1 and h2 off from the majority, with a key held by h0 and h1, until the
// majority accepts the key.
func interruptHolders(t *testing.T, how func(*simHost)) (w *simulation, key string, before *Ticket) {
	w = newFaultFreeSimulation(t, 7, 5*time.Second)
	key = w.keyHeldBy(w.ids(), "h0", "h1")
	before = w.mustProceed("h2", key, time.Minute)
	for _, id := range []string{"h0", "h1", "h2"} {
		how(w.hosts[id])
		w.hosts[id].dedup.table.delete(w.request(key, time.Second).ID)
	}
	for range 6 {
		w.advance(3 * time.Second)
		w.syncAndPull()
	}
	w.mustProceed("h4", key, time.Second)
	return w, key, before
}

// Holders that are cut off or paused for so long that others took over accept nothing, neither
// before nor after the fault ends, until they have pulled. A taker that was cut off does not send.
func TestCutOffHoldersAcceptNothing(t *testing.T) {
	split := func(h *simHost) { h.partition = 1 }
	pause := func(h *simHost) { h.paused = true }
	for name, how := range map[string]func(*simHost){"split": split, "pause": pause} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, key, before := interruptHolders(t, how)
			if name == "split" {
				is.True(!before.MaySend(w.now))
				_, v := w.begin("h0", key, time.Second)
				is.Equal(v.Kind, Unavailable)
			}
			for _, id := range w.ids() {
				w.hosts[id].partition, w.hosts[id].paused = 0, false
			}
			w.heartbeat()
			is.True(!before.MaySend(w.now))
			_, v := w.begin("h0", key, time.Second)
			is.Equal(v.Kind, Unavailable)
			w.syncAndPull()
			_, v = w.begin("h0", key, time.Second)
			is.Equal(v.Kind, InProgress)
		})
	}
}

// nonHolder returns the id of a new host that is not among the holders of a key.
func (w *simulation) nonHolder(key string) string {
	hosts := w.hosts["h0"].dedup.handover.set.hosts
	for i := 10; ; i++ {
		h := Host{ID: "h" + strconv.Itoa(i), Incarnation: 99, Site: "s9"}
		set := newHostSet(append(slices.Clone(hosts), h))
		if !set.holders(w.request(key, time.Second).ID).has(h.ID) {
			return h.ID
		}
	}
}

// A change of the membership that leaves a key's holders as they were gives no leave to accept it
// when the holders were cut off before.
func TestGapForbidsTheShortcut(t *testing.T) {
	is := is.New(t)
	w, key, _ := interruptHolders(t, func(h *simHost) { h.partition = 1 })
	for _, id := range w.ids() {
		w.hosts[id].partition = 0
	}
	w.heartbeat()
	newcomer := w.nonHolder(key)
	for _, h := range []*simHost{w.hosts["h0"], w.hosts["h1"]} {
		h.knownMembers[newcomer] = member.Member{ID: newcomer, Incarnation: 99, Region: testRegion, Site: "s9"}
		h.publish()
	}
	_, v := w.begin("h0", key, time.Second)
	is.Equal(v.Kind, Unavailable)
}

// An intent that arrives after its run was cancelled does not block the key.
func TestLateIntentOfCancelledRun(t *testing.T) {
	is := is.New(t)
	w := newFaultFreeSimulation(t, 3, time.Hour)
	key := w.keyHeldBy(w.ids(), "h1", "h2")
	ticket := w.mustProceed("h0", key, time.Minute)
	intent := &dedupepb.Intent{
		Record:  recordToWire(ticket.record, w.now),
		Holders: hostsToWire(w.hosts["h1"].dedup.handover.set.holders(ticket.record.id)),
	}
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	reply, err := w.hosts["h1"].dedup.serveIntent(intent)
	is.NoErr(err)
	is.Equal(reply.Code, dedupepb.Code_CODE_CANCELLED)
	w.mustProceed("h2", key, time.Minute)
}

// Holders overlap between any two sets that differ by one host.
func TestHoldersOverlap(t *testing.T) {
	for i := range 2000 {
		var hosts []Host
		for j := range 2 + i%7 {
			hosts = append(hosts, Host{ID: "h" + strconv.Itoa(i*10+j), Site: "s" + strconv.Itoa(j%(1+i%3))})
		}
		id := ID{Key: strconv.Itoa(i)}
		with := newHostSet(hosts).holders(id)
		for j := range hosts {
			without := newHostSet(slices.Delete(slices.Clone(hosts), j, j+1)).holders(id)
			if !slices.ContainsFunc(with, func(h Host) bool { return without.has(h.ID) }) {
				t.Fatalf("%v and %v have no host in common", with, without)
			}
		}
	}
}

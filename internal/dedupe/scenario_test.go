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

// calmWorld returns a world of n hosts at three sites in which nothing happens by chance.
func calmWorld(t *testing.T, n int, window time.Duration) *world {
	w := newWorld(t, 1)
	w.hosts, w.truth = map[string]*simHost{}, map[string]member.Member{}
	w.silent = true
	w.window = window
	w.populate(n, 3)
	return w
}

// keyAt returns a key whose holders among the hosts are the given ones, in any order.
func (w *world) keyAt(among []string, want ...string) string {
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

func (w *world) begin(id, key string, wait time.Duration) (*Ticket, Verdict) {
	w.t.Helper()
	ticket, v, err := w.hosts[id].keeper.Begin(context.Background(), w.request(key, wait))
	if err != nil {
		w.t.Fatal(err)
	}
	return ticket, v
}

func (w *world) mustGo(id, key string, wait time.Duration) *Ticket {
	w.t.Helper()
	ticket, v := w.begin(id, key, wait)
	if v.Kind != Proceed || !ticket.MaySend(w.now) {
		w.t.Fatalf("%s at %s: %v %v", key, id, v.Kind, v.Reason)
	}
	return ticket
}

func (w *world) answered(ticket *Ticket) {
	w.t.Helper()
	res := Result{Outcome: outcome.Answered, Answer: Answer{Status: 201, Body: []byte("done")}}
	if err := ticket.Finish(context.Background(), res); err != nil {
		w.t.Fatal(err)
	}
}

// kill removes hosts at once; the membership learns of it when bury is called.
func (w *world) kill(ids ...string) {
	for _, id := range ids {
		delete(w.hosts, id)
	}
}

func (w *world) buryAll(ids ...string) {
	for _, id := range ids {
		w.bury(id, w.truth[id].Incarnation)
	}
}

func (w *world) learnAndPull() {
	for _, id := range w.ids() {
		w.learnAll(w.hosts[id])
	}
	for range 3 {
		for _, id := range w.ids() {
			w.hosts[id].keeper.pullStep(context.Background())
		}
	}
}

func TestSecondSendIsReplayedByAnyHost(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 4, time.Hour)
	ticket := w.mustGo("h0", "k", time.Minute)
	for _, id := range w.ids() {
		_, v := w.begin(id, "k", time.Minute)
		is.Equal(v.Kind, InProgress)
	}
	w.answered(ticket)
	for _, id := range w.ids() {
		_, v := w.begin(id, "k", time.Minute)
		is.Equal(v.Kind, Replay)
		is.Equal(string(v.Answer.Body), "done")
	}
	req := w.request("k", time.Minute)
	req.Fingerprint = NewFingerprint("POST", "/book", []byte("other"))
	for _, id := range w.ids() {
		_, v, err := w.hosts[id].keeper.Begin(context.Background(), req)
		is.NoErr(err)
		is.Equal(v.Kind, Mismatch)
	}
}

func TestNotRunFreesTheKeyAndUnknownKeepsIt(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 3, time.Hour)
	ticket := w.mustGo("h0", "k", time.Minute)
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	w.mustGo("h1", "k", time.Second)
	w.kill("h1")
	w.advance(time.Second + defaultGrace)
	_, v := w.begin("h2", "k", time.Minute)
	is.Equal(v.Kind, UnknownOutcome)
}

// Records of a home that dies are taken over from the second holder.
func TestHomeDies(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 4, time.Hour)
	key := w.keyAt(w.ids(), "h1", "h2")
	w.answered(w.mustGo("h0", key, time.Minute))
	w.kill("h1")
	w.buryAll("h1")
	w.learnAndPull()
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// Two joined hosts that know each other, but whom the old holders don't know yet, must not accept
// a key that the old holders still accept.
func TestNewHoldersWaitUntilOldOnesKnowThem(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 4, time.Hour)
	w.start("h4", "s1", time.Hour)
	w.start("h5", "s2", time.Hour)
	key := w.keyAt(w.ids(), "h4", "h5")
	for range 2 {
		w.learnAll(w.hosts["h4"])
		w.learnAll(w.hosts["h5"])
		w.hosts["h4"].keeper.pullStep(context.Background())
		w.hosts["h5"].keeper.pullStep(context.Background())
	}
	w.mustGo("h0", key, time.Minute)
	_, v := w.begin("h4", key, time.Minute)
	is.Equal(v.Kind, Unavailable)
	w.learnAndPull()
	_, v = w.begin("h4", key, time.Minute)
	is.Equal(v.Kind, InProgress)
}

// Both holders die at once. The survivors, and hosts that join before or after the survivors have
// noticed, refuse the key for its window.
func TestBothHoldersDieAtOnce(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		is := is.New(t)
		w := calmWorld(t, 4, time.Minute)
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
		m4, m5 := w.truth["h4"], w.truth["h5"]
		w.kill("h4", "h5")
		delete(w.truth, "h4")
		delete(w.truth, "h5")
		w.mustGo("h3", key, time.Second)
		w.hosts["h3"].keeper.table.delete(w.request(key, time.Second).ID) // the taker's copy is not what is tested
		w.kill("h0", "h1")
		w.buryAll("h0", "h1")
		if noticed {
			w.learnAndPull()
		}
		w.hosts["h4"], w.hosts["h5"], w.truth["h4"], w.truth["h5"] = h4, h5, m4, m5
		for _, id := range joined {
			w.learnAll(w.hosts[id])
		}
		h5.keeper.pullStep(context.Background())
		h4.keeper.pullStep(context.Background())
		w.learnAndPull()
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
	w := calmWorld(t, 4, time.Second)
	key := w.keyAt(w.ids(), "h1", "h2")
	w.mustGo("h0", key, time.Minute)
	w.hosts["h0"].keeper.table.delete(w.request(key, time.Second).ID)
	w.kill("h1", "h2")
	w.buryAll("h1", "h2")
	w.learnAndPull()
	w.advance(30 * time.Second)
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// A whole region that is replaced at once knows nothing and refuses keys for the cold hold.
func TestWholeRegionReplaced(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 3, time.Hour)
	w.mustGo("h0", "k", time.Second)
	for _, id := range w.ids() {
		w.start(id, w.hosts[id].host.Site, time.Minute)
	}
	w.learnAndPull()
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
	w := calmWorld(t, 4, time.Hour)
	key := w.keyAt(w.ids(), "h0", "h1")
	w.mustGo("h2", key, time.Minute)
	joining := []string{"h4", "h5"}
	for _, id := range joining {
		w.start(id, "s1", 0)
		h := w.hosts[id]
		h.side = 1
		h.contact = w.now.Add(-time.Hour)
		h.believes = map[string]member.Member{"h4": w.truth["h4"], "h5": w.truth["h5"]}
		h.believes["h5"] = member.Member{ID: "h5", Incarnation: w.inc, Region: testRegion, Site: "s1"}
	}
	w.hosts["h4"].believes["h5"] = w.truth["h5"]
	for _, id := range joining {
		w.hosts[id].publish()
		w.hosts[id].keeper.pullStep(context.Background())
	}
	for _, id := range joining {
		w.hosts[id].keeper.tick()
		is.True(!w.hosts[id].keeper.handover.warm)
		is.True(!w.hosts[id].keeper.Stats().Ready)
	}
}

// Both holders restart so fast that nobody believed them dead.
func TestBothHoldersRestart(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 4, time.Hour)
	key := w.keyAt(w.ids(), "h1", "h2")
	w.mustGo("h1", key, time.Second)
	w.start("h1", w.hosts["h1"].host.Site, time.Hour)
	w.start("h2", w.hosts["h2"].host.Site, time.Hour)
	w.learnAndPull()
	_, v := w.begin("h3", key, time.Second)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// Both holders leave gracefully; their records move.
func TestBothHoldersLeave(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 4, time.Hour)
	key := w.keyAt(w.ids(), "h1", "h2")
	w.answered(w.mustGo("h0", key, time.Minute))
	for _, id := range []string{"h1", "h2"} {
		m := w.truth[id]
		m.State = member.Leaving
		w.truth[id] = m
		w.hosts[id].keeper.startLeaving()
	}
	is.True(len(w.hosts["h1"].keeper.unserved()) > 0)
	w.learnAndPull()
	is.Equal(len(w.hosts["h1"].keeper.unserved()), 0)
	is.Equal(len(w.hosts["h2"].keeper.unserved()), 0)
	is.NoErr(w.hosts["h1"].keeper.Leave(context.Background()))
	is.NoErr(w.hosts["h2"].keeper.Leave(context.Background()))
	w.kill("h1", "h2")
	w.buryAll("h1", "h2")
	w.learnAndPull()
	w.hosts["h0"].keeper.table.delete(w.request(key, time.Second).ID)
	_, v := w.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// cutOffHolders cuts h0, h1 and h2 off from the majority, with a key held by h0 and h1, until the
// majority accepts the key.
func cutOffHolders(t *testing.T, how func(*simHost)) (w *world, key string, before *Ticket) {
	w = calmWorld(t, 7, 5*time.Second)
	key = w.keyAt(w.ids(), "h0", "h1")
	before = w.mustGo("h2", key, time.Minute)
	for _, id := range []string{"h0", "h1", "h2"} {
		how(w.hosts[id])
		w.hosts[id].keeper.table.delete(w.request(key, time.Second).ID)
	}
	for range 6 {
		w.advance(3 * time.Second)
		w.learnAndPull()
	}
	w.mustGo("h4", key, time.Second)
	return w, key, before
}

// Holders that are cut off or paused for so long that others took over accept nothing, neither
// before nor after the fault ends, until they have pulled. A taker that was cut off does not send.
func TestCutOffHoldersAcceptNothing(t *testing.T) {
	split := func(h *simHost) { h.side = 1 }
	pause := func(h *simHost) { h.paused = true }
	for name, how := range map[string]func(*simHost){"split": split, "pause": pause} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, key, before := cutOffHolders(t, how)
			if name == "split" {
				is.True(!before.MaySend(w.now))
				_, v := w.begin("h0", key, time.Second)
				is.Equal(v.Kind, Unavailable)
			}
			for _, id := range w.ids() {
				w.hosts[id].side, w.hosts[id].paused = 0, false
			}
			w.heartbeat()
			is.True(!before.MaySend(w.now))
			_, v := w.begin("h0", key, time.Second)
			is.Equal(v.Kind, Unavailable)
			w.learnAndPull()
			_, v = w.begin("h0", key, time.Second)
			is.Equal(v.Kind, InProgress)
		})
	}
}

// bystander returns the id of a new host that is not among the holders of a key.
func (w *world) bystander(key string) string {
	hosts := w.hosts["h0"].keeper.handover.set.hosts
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
	w, key, _ := cutOffHolders(t, func(h *simHost) { h.side = 1 })
	for _, id := range w.ids() {
		w.hosts[id].side = 0
	}
	w.heartbeat()
	newcomer := w.bystander(key)
	for _, h := range []*simHost{w.hosts["h0"], w.hosts["h1"]} {
		h.believes[newcomer] = member.Member{ID: newcomer, Incarnation: 99, Region: testRegion, Site: "s9"}
		h.publish()
	}
	_, v := w.begin("h0", key, time.Second)
	is.Equal(v.Kind, Unavailable)
}

// An intent that arrives after its run was cancelled does not block the key.
func TestLateIntentOfCancelledRun(t *testing.T) {
	is := is.New(t)
	w := calmWorld(t, 3, time.Hour)
	key := w.keyAt(w.ids(), "h1", "h2")
	ticket := w.mustGo("h0", key, time.Minute)
	intent := &dedupepb.Intent{
		Record:  recordToWire(ticket.record, w.now),
		Holders: hostsToWire(w.hosts["h1"].keeper.handover.set.holders(ticket.record.id)),
	}
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	reply, err := w.hosts["h1"].keeper.serveIntent(intent)
	is.NoErr(err)
	is.Equal(reply.Code, dedupepb.Code_CODE_CANCELLED)
	w.mustGo("h2", key, time.Minute)
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

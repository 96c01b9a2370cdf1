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

// newFaultFreeSimulation returns a simulation of n hosts at three sites without random faults.
func newFaultFreeSimulation(t *testing.T, n int, window time.Duration) *simulation {
	sim := newSimulation(t, 1)
	sim.hosts, sim.members = map[string]*simHost{}, map[string]member.Member{}
	sim.faultFree = true
	sim.window = window
	sim.populate(n, 3)
	return sim
}

// keyHeldBy returns a key whose holders, selected among the given hosts, are the two wanted ones in
// either order.
func (sim *simulation) keyHeldBy(among []string, want ...string) string {
	var hosts []Host
	for _, id := range among {
		hosts = append(hosts, sim.hosts[id].host)
	}
	set := newHostSet(hosts)
	for i := range 100_000 {
		key := "k" + strconv.Itoa(i)
		holders := set.holders(sim.request(key, time.Second).ID)
		if holders.has(want[0]) && holders.has(want[1]) {
			return key
		}
	}
	sim.t.Fatal("no key is held by the wanted hosts")
	return ""
}

// begin registers a request for the key at a host, with a deadline after wait.
func (sim *simulation) begin(id, key string, wait time.Duration) (*Ticket, Verdict) {
	sim.t.Helper()
	ticket, v, err := sim.hosts[id].dedup.Begin(context.Background(), sim.request(key, wait))
	if err != nil {
		sim.t.Fatal(err)
	}
	return ticket, v
}

// mustProceed fails the test unless the request for the key may be run.
func (sim *simulation) mustProceed(id, key string, wait time.Duration) *Ticket {
	sim.t.Helper()
	ticket, v := sim.begin(id, key, wait)
	if v.Kind != Proceed || !ticket.MaySend(sim.now) {
		sim.t.Fatalf("key %s at host %s must proceed, got verdict %v %v", key, id, v.Kind, v.Reason)
	}
	return ticket
}

// finishAnswered reports a response as the result of the run.
func (sim *simulation) finishAnswered(ticket *Ticket) {
	sim.t.Helper()
	res := Result{Outcome: outcome.Answered, Response: Response{Status: 201, Body: []byte("done")}}
	if err := ticket.Finish(context.Background(), res); err != nil {
		sim.t.Fatal(err)
	}
}

// kill stops hosts immediately. The membership does not change until declareAllDead is called.
func (sim *simulation) kill(ids ...string) {
	for _, id := range ids {
		delete(sim.hosts, id)
	}
}

// declareAllDead declares the current incarnations of hosts dead.
func (sim *simulation) declareAllDead(ids ...string) {
	for _, id := range ids {
		sim.declareDead(id, sim.members[id].Incarnation)
	}
}

// syncAndPull gives every host the actual membership and lets it pull records.
func (sim *simulation) syncAndPull() {
	for _, id := range sim.ids() {
		sim.syncMembers(sim.hosts[id])
	}
	for range 3 {
		for _, id := range sim.ids() {
			sim.hosts[id].dedup.pullOnce(context.Background())
		}
	}
}

// TestRepeatedRequestIsReplayedByAnyHost checks the verdict of every host on a repeated request:
// InProgress during the run, Replay after it, and Mismatch if the content differs.
func TestRepeatedRequestIsReplayedByAnyHost(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	ticket := sim.mustProceed("h0", "k", time.Minute)
	for _, id := range sim.ids() {
		_, v := sim.begin(id, "k", time.Minute)
		is.Equal(v.Kind, InProgress)
	}
	sim.finishAnswered(ticket)
	for _, id := range sim.ids() {
		_, v := sim.begin(id, "k", time.Minute)
		is.Equal(v.Kind, Replay)
		is.Equal(string(v.Response.Body), "done")
	}
	req := sim.request("k", time.Minute)
	req.Fingerprint = NewFingerprint("POST", "/book", []byte("other"))
	for _, id := range sim.ids() {
		_, v, err := sim.hosts[id].dedup.Begin(context.Background(), req)
		is.NoErr(err)
		is.Equal(v.Kind, Mismatch)
	}
}

// TestNotRunReleasesKeyAndUnknownKeepsIt checks that a key may be used again after a run that was not
// run, and that its outcome is unknown after a run that ended without a known result.
func TestNotRunReleasesKeyAndUnknownKeepsIt(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 3, time.Hour)
	ticket := sim.mustProceed("h0", "k", time.Minute)
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	sim.mustProceed("h1", "k", time.Second)
	sim.kill("h1")
	sim.advance(time.Second + defaultGracePeriod)
	_, v := sim.begin("h2", "k", time.Minute)
	is.Equal(v.Kind, UnknownOutcome)
}

// TestRecordSurvivesDeathOfOneHolder checks that a new holder pulls the record from the surviving
// one.
func TestRecordSurvivesDeathOfOneHolder(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h1", "h2")
	sim.finishAnswered(sim.mustProceed("h0", key, time.Minute))
	sim.kill("h1")
	sim.declareAllDead("h1")
	sim.syncAndPull()
	_, v := sim.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// TestNewHoldersWaitUntilOldOnesKnowThem guards against two runs of a key: one accepted by the old
// holders, which don't know the new hosts yet, and one by two new hosts that know only each other's
// confirmation.
func TestNewHoldersWaitUntilOldOnesKnowThem(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	sim.start("h4", "s1", time.Hour)
	sim.start("h5", "s2", time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h4", "h5")
	for range 2 {
		sim.syncMembers(sim.hosts["h4"])
		sim.syncMembers(sim.hosts["h5"])
		sim.hosts["h4"].dedup.pullOnce(context.Background())
		sim.hosts["h5"].dedup.pullOnce(context.Background())
	}
	sim.mustProceed("h0", key, time.Minute)
	_, v := sim.begin("h4", key, time.Minute)
	is.Equal(v.Kind, Unavailable)
	sim.syncAndPull()
	_, v = sim.begin("h4", key, time.Minute)
	is.Equal(v.Kind, InProgress)
}

// TestKeyIsRefusedAfterBothHoldersDie kills both holders at once. The survivors must refuse the key
// for its window, and so must hosts that join before or after the survivors detected the deaths.
func TestKeyIsRefusedAfterBothHoldersDie(t *testing.T) {
	for _, detected := range []bool{false, true} {
		is := is.New(t)
		sim := newFaultFreeSimulation(t, 4, time.Minute)
		sim.start("h4", "s1", time.Hour)
		sim.start("h5", "s2", time.Hour)
		joined := []string{"h2", "h3", "h4", "h5"}
		key := ""
		for i := 0; key == ""; i++ {
			id := sim.request("k"+strconv.Itoa(i), time.Second).ID
			old := newHostSet([]Host{sim.hosts["h0"].host, sim.hosts["h1"].host, sim.hosts["h2"].host, sim.hosts["h3"].host})
			next := newHostSet([]Host{sim.hosts["h2"].host, sim.hosts["h3"].host, sim.hosts["h4"].host, sim.hosts["h5"].host})
			if p, q := old.holders(id), next.holders(id); p.has("h0") && p.has("h1") && q.has("h4") && q.has("h5") {
				key = id.Key
			}
		}
		h4, h5 := sim.hosts["h4"], sim.hosts["h5"]
		m4, m5 := sim.members["h4"], sim.members["h5"]
		sim.kill("h4", "h5")
		delete(sim.members, "h4")
		delete(sim.members, "h5")
		sim.mustProceed("h3", key, time.Second)
		sim.hosts["h3"].dedup.table.delete(sim.request(key, time.Second).ID) // without the copy that the receiving host keeps
		sim.kill("h0", "h1")
		sim.declareAllDead("h0", "h1")
		if detected {
			sim.syncAndPull()
		}
		sim.hosts["h4"], sim.hosts["h5"], sim.members["h4"], sim.members["h5"] = h4, h5, m4, m5
		for _, id := range joined {
			sim.syncMembers(sim.hosts[id])
		}
		h5.dedup.pullOnce(context.Background())
		h4.dedup.pullOnce(context.Background())
		sim.syncAndPull()
		for _, id := range joined {
			_, v := sim.begin(id, key, time.Second)
			is.Equal(v.Reason, ReasonRecordsLost)
		}
		sim.advance(2 * time.Minute)
		_, v := sim.begin("h2", key, time.Second)
		is.Equal(v.Kind, Proceed)
	}
}

// TestLossCoversRunsInFlight checks that a key whose holders were lost is refused until the end of
// its run, even if the run outlives the window.
func TestLossCoversRunsInFlight(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Second)
	key := sim.keyHeldBy(sim.ids(), "h1", "h2")
	sim.mustProceed("h0", key, time.Minute)
	sim.hosts["h0"].dedup.table.delete(sim.request(key, time.Second).ID)
	sim.kill("h1", "h2")
	sim.declareAllDead("h1", "h2")
	sim.syncAndPull()
	sim.advance(30 * time.Second)
	_, v := sim.begin("h3", key, time.Minute)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// TestReplacedRegionRefusesKeysDuringColdHold restarts all hosts of a region at once. They know
// nothing about earlier runs and must refuse keys for the cold hold.
func TestReplacedRegionRefusesKeysDuringColdHold(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 3, time.Hour)
	sim.mustProceed("h0", "k", time.Second)
	for _, id := range sim.ids() {
		sim.start(id, sim.hosts[id].host.Site, time.Minute)
	}
	sim.syncAndPull()
	_, v := sim.begin("h1", "k", time.Second)
	is.Equal(v.Reason, ReasonHandover)
	sim.advance(time.Minute)
	_, v = sim.begin("h1", "k", time.Second)
	is.Equal(v.Kind, Proceed)
}

// TestHostsThatHaveNotJoinedAreNotWarm starts two hosts that know only each other. They must not take
// themselves for the whole region, and become ready, before they have reached it.
func TestHostsThatHaveNotJoinedAreNotWarm(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h0", "h1")
	sim.mustProceed("h2", key, time.Minute)
	joining := []string{"h4", "h5"}
	for _, id := range joining {
		sim.start(id, "s1", 0)
		h := sim.hosts[id]
		h.partition = 1
		h.lastMajorityContact = sim.now.Add(-time.Hour)
		h.knownMembers = map[string]member.Member{"h4": sim.members["h4"], "h5": sim.members["h5"]}
		h.knownMembers["h5"] = member.Member{ID: "h5", Incarnation: sim.lastIncarnation, Region: testRegion, Site: "s1"}
	}
	sim.hosts["h4"].knownMembers["h5"] = sim.members["h5"]
	for _, id := range joining {
		sim.hosts[id].publish()
		sim.hosts[id].dedup.pullOnce(context.Background())
	}
	for _, id := range joining {
		sim.hosts[id].dedup.tick()
		is.True(!sim.hosts[id].dedup.handover.warm)
		is.True(!sim.hosts[id].dedup.Stats().Ready)
	}
}

// TestKeyIsRefusedAfterBothHoldersRestart restarts both holders so fast that no host declared them
// dead. Their records are lost all the same.
func TestKeyIsRefusedAfterBothHoldersRestart(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h1", "h2")
	sim.mustProceed("h1", key, time.Second)
	sim.start("h1", sim.hosts["h1"].host.Site, time.Hour)
	sim.start("h2", sim.hosts["h2"].host.Site, time.Hour)
	sim.syncAndPull()
	_, v := sim.begin("h3", key, time.Second)
	is.Equal(v.Reason, ReasonRecordsLost)
}

// TestRecordsMoveWhenBothHoldersLeave checks that both holders can leave gracefully at the same time
// and hand over their records.
func TestRecordsMoveWhenBothHoldersLeave(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 4, time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h1", "h2")
	sim.finishAnswered(sim.mustProceed("h0", key, time.Minute))
	for _, id := range []string{"h1", "h2"} {
		m := sim.members[id]
		m.State = member.Leaving
		sim.members[id] = m
		sim.hosts[id].dedup.startLeaving()
	}
	is.True(len(sim.hosts["h1"].dedup.hostsNotPulled()) > 0)
	sim.syncAndPull()
	is.Equal(len(sim.hosts["h1"].dedup.hostsNotPulled()), 0)
	is.Equal(len(sim.hosts["h2"].dedup.hostsNotPulled()), 0)
	is.NoErr(sim.hosts["h1"].dedup.Leave(context.Background()))
	is.NoErr(sim.hosts["h2"].dedup.Leave(context.Background()))
	sim.kill("h1", "h2")
	sim.declareAllDead("h1", "h2")
	sim.syncAndPull()
	sim.hosts["h0"].dedup.table.delete(sim.request(key, time.Second).ID)
	_, v := sim.begin("h3", key, time.Minute)
	is.Equal(v.Kind, Replay)
}

// interruptHolders interrupts h0, h1 and h2 with a key held by h0 and h1, until the other hosts, the
// majority, accept the key. It returns the ticket that h2 got before the interruption.
func interruptHolders(t *testing.T, how func(*simHost)) (sim *simulation, key string, ticket *Ticket) {
	sim = newFaultFreeSimulation(t, 7, 5*time.Second)
	key = sim.keyHeldBy(sim.ids(), "h0", "h1")
	ticket = sim.mustProceed("h2", key, time.Minute)
	for _, id := range []string{"h0", "h1", "h2"} {
		how(sim.hosts[id])
		sim.hosts[id].dedup.table.delete(sim.request(key, time.Second).ID)
	}
	for range 6 {
		sim.advance(3 * time.Second)
		sim.syncAndPull()
	}
	sim.mustProceed("h4", key, time.Second)
	return sim, key, ticket
}

// TestInterruptedHoldersRefuseKeys isolates or pauses holders for so long that other hosts replace
// them. They must refuse the key until they have pulled records, before and after the fault ends. The
// host that received the request must not send it any more.
func TestInterruptedHoldersRefuseKeys(t *testing.T) {
	partition := func(h *simHost) { h.partition = 1 }
	pause := func(h *simHost) { h.paused = true }
	for name, how := range map[string]func(*simHost){"partition": partition, "pause": pause} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, key, ticket := interruptHolders(t, how)
			if name == "partition" {
				is.True(!ticket.MaySend(sim.now))
				_, v := sim.begin("h0", key, time.Second)
				is.Equal(v.Kind, Unavailable)
			}
			for _, id := range sim.ids() {
				sim.hosts[id].partition, sim.hosts[id].paused = 0, false
			}
			sim.heartbeat()
			is.True(!ticket.MaySend(sim.now))
			_, v := sim.begin("h0", key, time.Second)
			is.Equal(v.Kind, Unavailable)
			sim.syncAndPull()
			_, v = sim.begin("h0", key, time.Second)
			is.Equal(v.Kind, InProgress)
		})
	}
}

// nonHolderID returns the id of a new host that does not become a holder of the key.
func (sim *simulation) nonHolderID(key string) string {
	hosts := sim.hosts["h0"].dedup.handover.set.hosts
	for i := 10; ; i++ {
		h := Host{ID: "h" + strconv.Itoa(i), Incarnation: 99, Site: "s9"}
		set := newHostSet(append(slices.Clone(hosts), h))
		if !set.holders(sim.request(key, time.Second).ID).has(h.ID) {
			return h.ID
		}
	}
}

// TestInterruptedHoldersRefuseUnmovedKeys guards against a run that is accepted during a handover
// because the key's holders did not change: after an isolation the holders may have missed sets in
// between.
func TestInterruptedHoldersRefuseUnmovedKeys(t *testing.T) {
	is := is.New(t)
	sim, key, _ := interruptHolders(t, func(h *simHost) { h.partition = 1 })
	for _, id := range sim.ids() {
		sim.hosts[id].partition = 0
	}
	sim.heartbeat()
	joiner := sim.nonHolderID(key)
	for _, h := range []*simHost{sim.hosts["h0"], sim.hosts["h1"]} {
		h.knownMembers[joiner] = member.Member{ID: joiner, Incarnation: 99, Region: testRegion, Site: "s9"}
		h.publish()
	}
	_, v := sim.begin("h0", key, time.Second)
	is.Equal(v.Kind, Unavailable)
}

// TestLateIntentOfCancelledRun checks that an intent that arrives after its run was cancelled does
// not block the key.
func TestLateIntentOfCancelledRun(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 3, time.Hour)
	key := sim.keyHeldBy(sim.ids(), "h1", "h2")
	ticket := sim.mustProceed("h0", key, time.Minute)
	intent := &dedupepb.Intent{
		Record:  recordToProto(ticket.record, sim.now),
		Holders: hostsToProto(sim.hosts["h1"].dedup.handover.set.holders(ticket.record.id)),
	}
	is.NoErr(ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun}))
	reply, err := sim.hosts["h1"].dedup.handleIntent(intent)
	is.NoErr(err)
	is.Equal(reply.Code, dedupepb.Code_CODE_CANCELLED)
	sim.mustProceed("h2", key, time.Minute)
}

// TestHoldersOverlap checks that the holders of a key in two sets that differ by one host have a host
// in common.
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

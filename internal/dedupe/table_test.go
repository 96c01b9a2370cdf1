package dedupe

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

// TestUsageMatchesRecount compares the usage that a table tracks with a recount of its records, and
// checks that no live record is dropped because the table is full.
func TestUsageMatchesRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Records: 5, CallerRecords: 3, Bytes: 3000, CallerBytes: 1500, MaxResponseBytes: 300}.withDefaults()
		table := newTable(limits)
		now := time.Unix(1_000_000, 0)
		live := map[ID]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := ID{
				Caller: strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "caller")),
				Key:    strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key")),
			}
			r := &record{id: id, state: InFlight, inFlightUntil: now.Add(time.Second), window: 5 * time.Second}
			r.expiresAt = r.inFlightUntil.Add(r.window)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if table.get(id, now) == nil && table.hasRoom(r) {
					table.put(r)
					live[id] = r.expiresAt
				}
			case 1:
				if held := table.get(id, now); held != nil {
					body := make([]byte, rapid.IntRange(0, 400).Draw(t, "body"))
					done := held.withResult(Finished, Response{Status: 200, Body: body}, now)
					table.put(done)
					live[id] = done.expiresAt
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
			case 3:
				table.sweep(now)
			}
			var total usage
			callers := map[string]int{}
			for _, r := range table.records {
				total.add(r)
				callers[r.id.Caller]++
			}
			if total != table.total || total.records > limits.Records || total.bytes > limits.Bytes+recordOverhead {
				t.Fatalf("recounted %+v, tracked %+v; both must be within the limits", total, table.total)
			}
			for caller, n := range callers {
				if n > limits.CallerRecords {
					t.Fatalf("caller %s has %d records, more than its limit", caller, n)
				}
			}
			for id, until := range live {
				if now.Before(until) && table.get(id, now) == nil {
					t.Fatalf("live record of %v is missing", id)
				}
			}
		}
	})
}

// TestFullTableRefusesNewKeys checks that a full table refuses new keys but still knows the old ones,
// and accepts new keys again once the old ones have expired.
func TestFullTableRefusesNewKeys(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 3, time.Minute)
	for _, h := range sim.hosts {
		h.dedup.table.limits.CallerRecords = 4
	}
	refused := 0
	for i := range 12 {
		_, v := sim.begin("h0", "k"+strconv.Itoa(i), time.Second)
		if v.Kind != Proceed {
			is.Equal(v.Reason, ReasonFull)
			refused++
		}
	}
	is.True(refused > 0)
	_, v := sim.begin("h1", "k0", time.Second)
	is.Equal(v.Kind, InProgress) // the first key is still known
	sim.advance(2 * time.Minute)
	for _, id := range sim.ids() {
		sim.hosts[id].dedup.sweep(sim.now)
		is.Equal(sim.hosts[id].dedup.Stats().Records, 0)
	}
	sim.mustProceed("h0", "k-last", time.Second)
}

// TestLargeAnswerKeepsOnlyStatus checks that only the status of a response above the size limit
// is replayed.
func TestLargeAnswerKeepsOnlyStatus(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 3, time.Minute)
	ticket := sim.mustProceed("h0", "k", time.Second)
	resp := Response{Status: 201, Body: make([]byte, defaultMaxResponseBytes+1)}
	is.NoErr(ticket.Finish(t.Context(), Result{Outcome: outcome.Answered, Response: resp}))
	for _, id := range sim.ids() {
		_, v := sim.begin(id, "k", time.Second)
		is.Equal(v.Kind, Replay)
		is.True(v.Response.Dropped)
		is.Equal(v.Response.Status, 201)
		is.Equal(len(v.Response.Body), 0)
	}
}

// TestRegionWithoutHostsRefusesKeys checks that a host of another region refuses keys whose home
// region has no live host.
func TestRegionWithoutHostsRefusesKeys(t *testing.T) {
	is := is.New(t)
	sim := newFaultFreeSimulation(t, 2, time.Minute)
	sim.start("far", "s9", 0)
	far := sim.hosts["far"]
	far.dedup.cfg.Region = "south"
	far.dedup.UpdateView(member.View{Version: 99, Members: []member.Member{
		{ID: "far", Incarnation: far.host.Incarnation, Region: "south", Site: "s9"},
	}})
	_, v := sim.begin("far", "k", 5*time.Second)
	is.Equal(v.Kind, Unavailable)
	is.Equal(v.Reason, ReasonTooFewHolders)
}

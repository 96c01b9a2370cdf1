package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func siteOf(id string) string { return id[:strings.LastIndex(id, "/")] }

func regionOf(id string) string {
	region, _, _ := strings.Cut(id, "/")
	return region
}

func TestHostsFindEachOther(t *testing.T) {
	s := newSimulation(t, 1)
	s.addAll(3, 2, 3)
	s.waitForAgreement(20 * time.Second)
}

func TestCrashAndRestartAreDetected(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2)
	s.addAll(2, 2, 3)
	s.waitForAgreement(20 * time.Second)
	first := s.hosts["r0/s0/h000"].self.record.Incarnation
	s.hosts["r0/s0/h000"].down = true
	s.run(3 * time.Second)
	for _, at := range s.order[1:6] {
		is.True(s.stateOf(at, "r0/s0/h000") != Dead) // not declared dead too early
	}
	s.waitForAgreement(15 * time.Second)
	s.add("r0/s0/h000")
	s.waitForAgreement(20 * time.Second)
	is.True(s.hosts["r1/s0/h000"].entries["r0/s0/h000"].record.Incarnation > first)
}

func TestLossOfADataCentre(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 3)
	s.addAll(3, 2, 3)
	s.waitForAgreement(20 * time.Second)
	for _, id := range s.order {
		s.hosts[id].down = siteOf(id) == "r0/s0"
	}
	s.run(10 * time.Second)
	is.True(s.isolated("r0/s1/h000")) // half of the region is not a majority
	is.Equal(s.stateOf("r0/s1/h000", "r0/s0/h000"), Suspect)
	is.True(!s.isolated("r1/s0/h000"))
	s.refreshList() // the platform confirms the loss
	s.waitForAgreement(30 * time.Second)
}

func TestRegionSplitForAnHour(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 4)
	s.addAll(3, 2, 2)
	s.waitForAgreement(20 * time.Second)
	s.cut = func(a, b string) bool { return (regionOf(a) == "r0") != (regionOf(b) == "r0") }
	s.run(30 * time.Minute)
	is.True(!s.isolated("r0/s0/h000"))
	is.True(!s.isolated("r1/s0/h000"))
	is.Equal(s.stateOf("r1/s0/h000", "r0/s0/h000"), Suspect)
	is.Equal(s.stateOf("r0/s0/h000", "r0/s1/h000"), Alive)
	s.hosts["r0/s0/h001"].down = true // replaced during the split
	s.add("r0/s0/h009")
	s.refreshList()
	s.run(30 * time.Minute)
	s.cut = func(_, _ string) bool { return false }
	s.waitForAgreement(2 * time.Minute)
}

func TestPausedHostReportsIsolationAndDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 5)
	s.addAll(1, 2, 4)
	s.waitForAgreement(20 * time.Second)
	paused := s.hosts["r0/s0/h000"]
	paused.pausedUntil = s.now.Add(30 * time.Second)
	s.run(20 * time.Second)
	is.Equal(s.stateOf("r0/s1/h000", paused.id), Dead)
	s.run(10 * time.Second)
	is.True(s.isolated(paused.id)) // as soon as it resumes
	for _, of := range s.order[1:] {
		is.Equal(s.stateOf(paused.id, of), Alive) // it declares no other host dead
	}
	s.waitForAgreement(20 * time.Second)
	is.True(paused.self.record.Version > 0) // it refuted the declaration of its death
}

func TestLeavingIsAnnounced(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 6)
	s.addAll(2, 1, 4)
	s.waitForAgreement(20 * time.Second)
	leaver := s.hosts["r0/s0/h000"]
	leaver.announceLeaving(s.now)
	s.run(4 * time.Second)
	is.Equal(s.stateOf("r0/s0/h001", leaver.id), Leaving)
	is.Equal(s.stateOf("r1/s0/h001", leaver.id), Leaving)
	s.sendAll(leaver, leaver.announceLeft(s.now))
	s.run(100 * time.Millisecond)
	leaver.down = true
	s.waitForAgreement(15 * time.Second)
}

// TestNoTakeoverBeforeIsolation checks the guarantee explained at Timing under random partitions, pauses and
// crashes: a running host that another host of its region has declared dead reports isolation.
func TestNoTakeoverBeforeIsolation(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(r, rapid.Uint64().Draw(r, "seed"))
		s.addAll(1, 3, 2)
		s.waitForAgreement(30 * time.Second)
		s.check = func(s *simulation) { checkNoTakeover(r, s) }
		for range rapid.IntRange(1, 4).Draw(r, "faults") {
			injectFault(r, s)
			s.run(time.Duration(rapid.IntRange(500, 9000).Draw(r, "then")) * time.Millisecond)
			s.cut = func(_, _ string) bool { return false }
			s.run(time.Duration(rapid.IntRange(0, 3000).Draw(r, "healed")) * time.Millisecond)
		}
		s.check = nil
		s.refreshList()
		s.waitForAgreement(2 * time.Minute)
	})
}

func injectFault(r *rapid.T, s *simulation) {
	id := rapid.SampledFrom(s.order).Draw(r, "host")
	other := rapid.SampledFrom(s.order).Draw(r, "other")
	switch rapid.IntRange(0, 4).Draw(r, "kind") {
	case 0:
		s.cut = func(a, b string) bool { return (a == id) != (b == id) }
	case 1:
		s.cut = func(a, b string) bool { return (siteOf(a) == siteOf(id)) != (siteOf(b) == siteOf(id)) }
	case 2:
		s.cut = func(a, b string) bool { return a == id && b == other || a == other && b == id }
	case 3:
		pause := time.Duration(rapid.IntRange(100, 12000).Draw(r, "pause"))
		s.hosts[id].pausedUntil = s.now.Add(pause * time.Millisecond)
	case 4:
		s.hosts[id].down = true
		after := time.Duration(rapid.IntRange(10, 8000).Draw(r, "restart"))
		s.schedule(after*time.Millisecond, func() { s.add(id) })
	}
}

func checkNoTakeover(r *rapid.T, s *simulation) {
	for _, at := range s.order {
		if s.isolated(at) {
			continue // an isolated host does not take over work
		}
		for _, of := range s.order {
			e := s.hosts[at].entries[of]
			if e == nil || isActive(e.record) || s.hosts[of].down || s.isolated(of) {
				continue
			}
			if supersedes(s.hosts[of].self.record, e.record) {
				continue // it has refuted its death, and the refutation has not arrived yet
			}
			r.Fatalf("%s has declared %s dead, which does not report isolation", at, of)
		}
	}
}

func TestChurnConverges(t *testing.T) {
	s := newSimulation(t, 8)
	s.addAll(2, 2, 4)
	s.waitForAgreement(20 * time.Second)
	for i := range 12 {
		old := s.order[i]
		if i%2 == 0 {
			s.hosts[old].down = true
		} else {
			leaver := s.hosts[old]
			s.sendAll(leaver, leaver.announceLeft(s.now))
			s.schedule(50*time.Millisecond, func() { leaver.down = true })
		}
		s.add(fmt.Sprintf("%s/n%03d", siteOf(old), i))
		s.run(5 * time.Second)
		s.refreshList()
		s.run(5 * time.Second)
	}
	s.waitForAgreement(time.Minute)
}

func TestCostPerHostIsBounded(t *testing.T) {
	is := is.New(t)
	const regions = 5
	var perHost []float64
	for _, n := range []int{20, 100, 400} {
		s := newSimulation(t, 9)
		s.addAll(regions, 2, n/regions/2)
		s.run(12 * time.Second)
		start, startMessages := 0, 0
		for _, h := range s.hosts {
			h.gossip.items = nil // gossip about the start would take longer to end
			start += h.sent
			startMessages += h.messages
		}
		const span = 8
		s.run(span * time.Second)
		sent, messages, isolated := 0, 0, 0
		for id, h := range s.hosts {
			sent += h.sent
			messages += h.messages
			if s.isolated(id) {
				isolated++
			}
		}
		bytes := float64(sent-start) / float64(len(s.hosts)) / span
		t.Logf("%d hosts: %.0f B/s and %.1f messages/s sent per host", len(s.hosts), bytes,
			float64(messages-startMessages)/float64(len(s.hosts))/span)
		is.Equal(isolated, 0)
		perHost = append(perHost, bytes)
	}
	const budget = 3000 // bytes per second
	for _, b := range perHost {
		is.True(b < budget)
	}
}

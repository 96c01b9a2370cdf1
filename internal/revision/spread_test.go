package revision

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/store"
)

// convergenceModel checks the followers of a fleet against the list of accepted revisions.
type convergenceModel struct {
	*fleet
	t *rapid.T
	// accepted[n] is the mark of revision n+1.
	accepted []int
	// pending maps the mark of a change with unknown outcome to its parent.
	pending map[int]int
	// inForce maps each host to the revision that it had in force at the last check.
	inForce  map[string]uint64
	lastMark int
}

const modelHosts = 5

// propose applies one change, at times on an outdated parent, while some writes to the store fail.
func (m *convergenceModel) propose() {
	m.lastMark++
	mark := m.lastMark
	parent := len(m.accepted)
	if rapid.IntRange(0, 4).Draw(m.t, "stale") == 0 && parent > 0 {
		parent--
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.kv.onDown = cancel
	faults := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 6).Draw(m.t, "faults")
	m.kv.nextFault = func() fault {
		if len(faults) == 0 {
			return noFault
		}
		f := fault(faults[0])
		faults = faults[1:]
		return f
	}
	a := newTestAcceptor(m.kv, uint64(mark))
	r, err := a.Apply(ctx, &Proposal{Tree: markedTree(mark), Parent: uint64(parent), ChangeID: fmt.Sprint(mark)})
	m.recordOutcome(mark, parent, r, err)
}

// recordOutcome checks the outcome of a proposal against the list of accepted revisions.
func (m *convergenceModel) recordOutcome(mark, parent int, r *Record, err error) {
	var unknown *OutcomeUnknownError
	var conflict *ConflictError
	var notApplied *store.NotAppliedError
	switch {
	case err == nil:
		m.readAccepted()
		if int(r.Revision) > len(m.accepted) || m.accepted[r.Revision-1] != mark {
			m.t.Fatalf("change %d was reported as revision %d; accepted marks: %v", mark, r.Revision, m.accepted)
		}
	case errors.As(err, &unknown):
		m.pending[mark] = parent
	case errors.As(err, &conflict), errors.As(err, &notApplied), store.IsOutcomeUnknown(err):
		m.readAccepted()
		for _, accepted := range m.accepted {
			if accepted == mark {
				m.t.Fatalf("change %d was accepted but reported as not accepted: %v", mark, err)
			}
		}
	default:
		m.t.Fatalf("unexpected error type: %v", err)
	}
}

// readAccepted appends newly accepted revisions from the store's head to the list. It fails when a
// revision in the list has changed or a number was skipped.
func (m *convergenceModel) readAccepted() {
	entry := m.kv.lookup(HeadKey)
	head, _, err := parseHead(entry)
	if err != nil {
		m.t.Fatal(err)
	}
	for i := len(head.Records) - 1; i >= 0; i-- {
		r := head.Records[i]
		var mark int
		_, _ = fmt.Sscan(r.ChangeID, &mark)
		switch n := int(r.Revision); {
		case n <= len(m.accepted):
			if m.accepted[n-1] != mark {
				m.t.Fatalf("mark of revision %d changed from %d to %d", n, m.accepted[n-1], mark)
			}
		case n == len(m.accepted)+1:
			m.accepted = append(m.accepted, mark)
		default:
			m.t.Fatalf("revision %d does not follow the last accepted one", n)
		}
	}
}

// check verifies that no host's revision decreased and that each snapshot has the content of its
// revision.
func (m *convergenceModel) check() {
	m.readAccepted()
	for id, f := range m.hosts {
		s := f.Current()
		if s == nil {
			continue
		}
		if s.Revision < m.inForce[id] {
			m.t.Fatalf("%s went back from revision %d to %d", id, m.inForce[id], s.Revision)
		}
		m.inForce[id] = s.Revision
		service := s.Services["a"]
		want := m.accepted[s.Revision-1]
		if service.QueueLimit != want || service.ProbeBytesPerSecond != want {
			m.t.Fatalf("%s: revision %d has marks %d and %d, want %d", id, s.Revision,
				service.QueueLimit, service.ProbeBytesPerSecond, want)
		}
	}
}

// step runs one round of watching, gossip and fetching on host i.
func (m *convergenceModel) step(i int) {
	f := m.host(i)
	ctx := context.Background()
	if f.shouldWatch() {
		f.watchOnce(ctx)
	}
	f.gossip(ctx)
	f.fetchOffers(ctx)
}

// restart replaces a host by a new one. It must start with the newest revision of the hosts that it
// can reach.
func (m *convergenceModel) restart(i int) {
	f := m.startFollower(i)
	delete(m.inForce, f.cfg.Self)
	f.bootstrap(context.Background())
	if m.isolated[f.cfg.Self] {
		return
	}
	for id, other := range m.hosts {
		if m.isolated[id] || other.Current() == nil {
			continue
		}
		if f.Current() == nil || f.Current().Revision < other.Current().Revision {
			m.t.Fatalf("%s started with an older revision than %s", f.cfg.Self, id)
		}
	}
}

// startFollower starts host i with announcements that run inline.
func (m *convergenceModel) startFollower(i int) *Follower {
	f := m.start(i)
	f.spawn = func(run func()) { run() }
	return f
}

// TestFollowersConvergeOnAcceptedRevisions proposes changes under faults of the store and of the links
// between hosts. No host may go back to an older revision or mix two, and all must reach the newest
// revision once the faults end.
func TestFollowersConvergeOnAcceptedRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &convergenceModel{
			fleet: newFleet(modelHosts, 2, &instantClock{}, rapid.Uint64().Draw(t, "seed")),
			t:     t, pending: map[int]int{}, inForce: map[string]uint64{},
		}
		m.kv.watchReturnsAtOnce = true
		for i := range modelHosts {
			m.startFollower(i)
		}
		host := rapid.IntRange(0, modelHosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"propose":  func(*rapid.T) { m.propose() },
			"deliver":  func(*rapid.T) { m.kv.applyDelayed() },
			"step":     func(t *rapid.T) { m.step(host.Draw(t, "host")) },
			"restart":  func(t *rapid.T) { m.restart(host.Draw(t, "host")) },
			"cut":      func(t *rapid.T) { m.isolated["host-"+fmt.Sprint(host.Draw(t, "host"))] = true },
			"heal":     func(*rapid.T) { clear(m.isolated) },
			"store":    func(t *rapid.T) { m.kv.down = rapid.Bool().Draw(t, "down") },
			"set back": func(*rapid.T) { m.kv.staleHead = m.kv.lookup(HeadKey) },
			"up again": func(*rapid.T) { m.kv.staleHead = nil },
			"":         func(*rapid.T) { m.check() },
		})
		m.heal()
	})
}

// heal ends all faults and checks that every host reaches the newest revision.
func (m *convergenceModel) heal() {
	clear(m.isolated)
	m.kv.down, m.kv.staleHead = false, nil
	m.kv.applyDelayed()
	for range 3 {
		for i := range modelHosts {
			m.step(i)
		}
	}
	m.check()
	for id, f := range m.hosts {
		if len(m.accepted) > 0 && (f.Current() == nil || f.Current().Revision != uint64(len(m.accepted))) {
			m.t.Fatalf("%s is not at revision %d", id, len(m.accepted))
		}
	}
}

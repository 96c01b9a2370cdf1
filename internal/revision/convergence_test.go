package revision

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/store"
)

// spreadModel checks a fleet against a list of accepted revisions.
type spreadModel struct {
	*fleet
	t *rapid.T
	// accepted[n] is the mark of revision n+1.
	accepted []int
	// pending maps the mark of a change with unknown outcome to its parent.
	pending  map[int]int
	inForce  map[string]uint64
	lastMark int
}

const modelHosts = 5

func (m *spreadModel) propose() {
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

// recordOutcome enters the outcome of a proposal into the list.
func (m *spreadModel) recordOutcome(mark, parent int, r *Record, err error) {
	var unknown *OutcomeUnknownError
	var conflict *ConflictError
	var notDone *store.NotAppliedError
	switch {
	case err == nil:
		m.readAccepted()
		if int(r.Revision) > len(m.accepted) || m.accepted[r.Revision-1] != mark {
			m.t.Fatalf("change %d reported as revision %d, list %v", mark, r.Revision, m.accepted)
		}
	case errors.As(err, &unknown):
		m.pending[mark] = parent
	case errors.As(err, &conflict), errors.As(err, &notDone), store.IsOutcomeUnknown(err):
		m.readAccepted()
		for _, accepted := range m.accepted {
			if accepted == mark {
				m.t.Fatalf("change %d reported as not accepted: %v", mark, err)
			}
		}
	default:
		m.t.Fatalf("untyped outcome: %v", err)
	}
}

// readAccepted extends the list by what the store accepted. Every entry must keep its place.
func (m *spreadModel) readAccepted() {
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
				m.t.Fatalf("revision %d was %d and is %d", n, m.accepted[n-1], mark)
			}
		case n == len(m.accepted)+1:
			m.accepted = append(m.accepted, mark)
		default:
			m.t.Fatalf("revision %d skips a number", n)
		}
	}
}

// check verifies what every host has in force.
func (m *spreadModel) check() {
	m.readAccepted()
	for id, f := range m.hosts {
		s := f.Current()
		if s == nil {
			continue
		}
		if s.Revision < m.inForce[id] {
			m.t.Fatalf("%s went back from %d to %d", id, m.inForce[id], s.Revision)
		}
		m.inForce[id] = s.Revision
		service := s.Services["a"]
		want := m.accepted[s.Revision-1]
		if service.QueueLimit != want || service.ProbeBytesPerSecond != want {
			m.t.Fatalf("%s: revision %d is a mixture: %d and %d, want %d", id, s.Revision,
				service.QueueLimit, service.ProbeBytesPerSecond, want)
		}
	}
}

func (m *spreadModel) step(i int) {
	f := m.host(i)
	ctx := context.Background()
	if f.shouldWatch() {
		f.watchOnce(ctx)
	}
	f.gossip(ctx)
	f.fetchOffers(ctx)
}

// restart replaces a host. It must start with the newest revision of the hosts that it reaches.
func (m *spreadModel) restart(i int) {
	f := m.startFollower(i)
	delete(m.inForce, f.cfg.Host)
	f.bootstrap(context.Background())
	if m.isolated[f.cfg.Host] {
		return
	}
	for id, other := range m.hosts {
		if m.isolated[id] || other.Current() == nil {
			continue
		}
		if f.Current() == nil || f.Current().Revision < other.Current().Revision {
			m.t.Fatalf("%s starts behind %s", f.cfg.Host, id)
		}
	}
}

func (m *spreadModel) startFollower(i int) *Follower {
	f := m.start(i)
	f.spawn = func(run func()) { run() }
	return f
}

func TestFollowersConvergeOnAcceptedRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &spreadModel{
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

// heal ends all faults. Every host must then reach the newest revision.
func (m *spreadModel) heal() {
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

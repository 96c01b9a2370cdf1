package probe

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_000_000, 0)
	cost  = Usage{SlotTime: 6 * time.Millisecond, Bytes: 300}
)

const (
	maxHosts = 4
	slots    = 40
)

// host is an entry host that may be paused between Begin and the sending of its probe.
type host struct {
	account *Budget
	pending []Ticket
}

// fleet runs hosts and notes when probes reach targets.
type fleet struct {
	cfg     Config
	now     time.Time
	hosts   []*host
	reached []time.Time
}

func (f *fleet) join(*rapid.T) {
	if len(f.hosts) == maxHosts {
		return
	}
	h := &host{account: NewBudget(f.cfg, f.now)}
	h.account.SetSlots(slots)
	f.hosts = append(f.hosts, h)
}

func (f *fleet) leave(t *rapid.T) {
	if i, ok := f.any(t); ok {
		f.hosts = append(f.hosts[:i], f.hosts[i+1:]...)
	}
}

func (f *fleet) any(t *rapid.T) (int, bool) {
	if len(f.hosts) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host"), true
}

// begin asks for as many probes as the host is allowed. They stay unsent, as if it were paused.
func (f *fleet) begin(t *rapid.T) {
	i, ok := f.any(t)
	if !ok {
		return
	}
	h := f.hosts[i]
	for n := range rapid.IntRange(1, 60).Draw(t, "wanted") {
		if ticket, allowed := h.account.Begin(f.now, fmt.Sprintf("t%d", n), 2, cost); allowed {
			h.pending = append(h.pending, ticket)
		}
	}
}

// send lets all unsent probes of a host reach their targets now.
func (f *fleet) send(t *rapid.T) {
	i, ok := f.any(t)
	if !ok {
		return
	}
	h := f.hosts[i]
	for _, ticket := range h.pending {
		f.reached = append(f.reached, f.now)
		h.account.Done(f.now, ticket)
	}
	h.pending = nil
}

func (f *fleet) pass(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) check(t *rapid.T) {
	budget := time.Duration(f.cfg.Share * slots * float64(time.Second))
	for i, first := range f.reached {
		n := 0
		for _, at := range f.reached[i:] {
			if at.Sub(first) <= time.Second {
				n++
			}
		}
		if used := time.Duration(n) * cost.SlotTime; used > budget {
			t.Fatalf("%v of slot time used within a second, budget %v", used, budget)
		}
		if n*cost.Bytes > f.cfg.BytesPerSecond {
			t.Fatalf("%d bytes within a second, budget %d", n*cost.Bytes, f.cfg.BytesPerSecond)
		}
	}
}

func TestBudgetHoldsWhileHostsJoinLeaveAndPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			cfg: Config{Share: 0.01, BytesPerSecond: rapid.IntRange(0, 40000).Draw(t, "bytes"), MaxHosts: maxHosts},
			now: start,
		}
		f.join(t)
		f.now = f.now.Add(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"join": f.join, "leave": f.leave, "begin": f.begin, "send": f.send, "pass": f.pass, "": f.check,
		})
	})
}

func TestDivisionByViewExceedsBudgetWhenViewsDisagree(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	budget := int(cfg.Share * slots * float64(time.Second) / float64(cost.SlotTime))
	naive, ours := 0, 0
	for range maxHosts { // each host sees itself alone
		view := NewMembershipBudget(cfg, slots, 1)
		account := NewBudget(cfg, start)
		account.SetSlots(slots)
		now := start.Add(time.Second)
		for n := range 1000 {
			if view.Begin(now, cost) {
				naive++
			}
			if _, ok := account.Begin(now, fmt.Sprintf("t%d", n), 2, cost); ok {
				ours++
			}
		}
	}
	is.True(naive > budget)
	is.True(ours > 0 && ours <= budget)
}

func TestSpacingKeepsOneTargetWithinShare(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	const seconds = 600
	probes := 0
	for range maxHosts {
		a := NewBudget(cfg, start)
		a.SetSlots(slots)
		for ms := 0; ms < seconds*1000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ticket, ok := a.Begin(now, "t0", 2, cost); ok {
				probes++
				a.Done(now, ticket)
			}
		}
	}
	used := time.Duration(probes) * cost.SlotTime
	is.True(probes > 0)
	is.True(used <= time.Duration(cfg.Share*2*seconds*float64(time.Second)))
}

func TestReplacedHostsShareNoWindow(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	use := func(a *Budget, now time.Time) int {
		a.SetSlots(slots)
		allowed := 0
		for n := range 1000 {
			if _, ok := a.Begin(now, fmt.Sprintf("t%d", n), 2, cost); ok {
				allowed++
			}
		}
		return allowed
	}
	now := start.Add(time.Minute)
	old, soon, later := 0, 0, 0
	for range maxHosts {
		old += use(NewBudget(cfg, start), now)
		replacement := NewBudget(cfg, now)
		soon += use(replacement, now.Add(time.Second-time.Millisecond))
		later += use(replacement, now.Add(time.Second))
	}
	is.True(old > 0)
	is.Equal(soon, 0)
	is.Equal(later, old)
}

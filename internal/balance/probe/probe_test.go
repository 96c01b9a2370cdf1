package probe

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start      = time.Unix(1_000_000, 0)
	probeUsage = Usage{SlotTime: 6 * time.Millisecond, Bytes: 300}
)

const (
	maxHosts = 4
	slots    = 40
)

// host is an entry host that may be paused between Begin and sending its probes.
type host struct {
	budget *Budget
	unsent []Ticket
}

// fleet simulates hosts and records when probes reach targets.
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
	h := &host{budget: NewBudget(f.cfg, f.now)}
	h.budget.SetSlots(slots)
	f.hosts = append(f.hosts, h)
}

func (f *fleet) leave(t *rapid.T) {
	if i, ok := f.drawHost(t); ok {
		f.hosts = append(f.hosts[:i], f.hosts[i+1:]...)
	}
}

// drawHost draws a host. It is false if there are no hosts.
func (f *fleet) drawHost(t *rapid.T) (int, bool) {
	if len(f.hosts) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host"), true
}

// begin begins up to 60 probes of a host. They stay unsent, as if the host were paused.
func (f *fleet) begin(t *rapid.T) {
	i, ok := f.drawHost(t)
	if !ok {
		return
	}
	h := f.hosts[i]
	for n := range rapid.IntRange(1, 60).Draw(t, "wanted") {
		if ticket, allowed := h.budget.Begin(f.now, fmt.Sprintf("t%d", n), 2, probeUsage); allowed {
			h.unsent = append(h.unsent, ticket)
		}
	}
}

// send makes all unsent probes of a host reach their targets now.
func (f *fleet) send(t *rapid.T) {
	i, ok := f.drawHost(t)
	if !ok {
		return
	}
	h := f.hosts[i]
	for _, ticket := range h.unsent {
		f.reached = append(f.reached, f.now)
		h.budget.Done(f.now, ticket)
	}
	h.unsent = nil
}

func (f *fleet) advanceTime(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
}

// check fails the test if the probes of any window of one second exceed the budget.
func (f *fleet) check(t *rapid.T) {
	budget := time.Duration(f.cfg.Share * slots * float64(time.Second))
	for i, first := range f.reached {
		n := 0
		for _, at := range f.reached[i:] {
			if at.Sub(first) <= time.Second {
				n++
			}
		}
		if used := time.Duration(n) * probeUsage.SlotTime; used > budget {
			t.Fatalf("%v of slot time used within one second, budget is %v", used, budget)
		}
		if n*probeUsage.Bytes > f.cfg.BytesPerSecond {
			t.Fatalf("%d bytes used within one second, budget is %d", n*probeUsage.Bytes, f.cfg.BytesPerSecond)
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
			"join": f.join, "leave": f.leave, "begin": f.begin, "send": f.send, "advance time": f.advanceTime,
			"": f.check,
		})
	})
}

func TestOnlyMembershipBudgetIsExceededWhenViewsDiffer(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	budget := int(cfg.Share * slots * float64(time.Second) / float64(probeUsage.SlotTime))
	byMembership, byBudget := 0, 0
	for range maxHosts { // each host sees only itself
		membershipBudget := NewMembershipBudget(cfg, slots, 1)
		b := NewBudget(cfg, start)
		b.SetSlots(slots)
		now := start.Add(time.Second)
		for n := range 1000 {
			if membershipBudget.Begin(now, probeUsage) {
				byMembership++
			}
			if _, ok := b.Begin(now, fmt.Sprintf("t%d", n), 2, probeUsage); ok {
				byBudget++
			}
		}
	}
	is.True(byMembership > budget)
	is.True(byBudget > 0 && byBudget <= budget)
}

func TestSpacingKeepsProbesOfOneTargetWithinShare(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	const seconds = 600
	probes := 0
	for range maxHosts {
		b := NewBudget(cfg, start)
		b.SetSlots(slots)
		for ms := 0; ms < seconds*1000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ticket, ok := b.Begin(now, "t0", 2, probeUsage); ok {
				probes++
				b.Done(now, ticket)
			}
		}
	}
	used := time.Duration(probes) * probeUsage.SlotTime
	is.True(probes > 0)
	is.True(used <= time.Duration(cfg.Share*2*seconds*float64(time.Second)))
}

func TestReplacementHostProbesNothingInFirstWindow(t *testing.T) {
	is := is.New(t)
	cfg := Config{Share: 0.01, BytesPerSecond: 1 << 20, MaxHosts: maxHosts}
	begin := func(b *Budget, now time.Time) int {
		b.SetSlots(slots)
		allowed := 0
		for n := range 1000 {
			if _, ok := b.Begin(now, fmt.Sprintf("t%d", n), 2, probeUsage); ok {
				allowed++
			}
		}
		return allowed
	}
	now := start.Add(time.Minute)
	replaced, inFirstWindow, afterFirstWindow := 0, 0, 0
	for range maxHosts {
		replaced += begin(NewBudget(cfg, start), now)
		replacement := NewBudget(cfg, now)
		inFirstWindow += begin(replacement, now.Add(time.Second-time.Millisecond))
		afterFirstWindow += begin(replacement, now.Add(time.Second))
	}
	is.True(replaced > 0)
	is.Equal(inFirstWindow, 0)
	is.Equal(afterFirstWindow, replaced)
}

package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// fleet is a set of keepers whose messages arrive at once.
type fleet struct {
	clock *clock.Manual
	hosts []*Tracker
}

func (f *fleet) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, &MessageError{Part: "stream"}
}

func (f *fleet) Call(_ context.Context, id string, _ peer.Method, req, resp proto.Message) error {
	i, err := strconv.Atoi(id)
	if err != nil {
		return err
	}
	reply, err := f.hosts[i].dispatch(proto.Clone(req).(*quarantinepb.Question))
	if err != nil {
		return err
	}
	proto.Merge(resp, reply)
	return nil
}

func newFleet(n int) *fleet {
	f := &fleet{clock: clock.NewManual(time.Unix(1_000_000, 0))}
	for i := range n {
		recorder := event.NewRecorder(event.RecorderConfig{
			Size: 16, Clock: event.NewHybridClock(f.clock), Log: logr.Discard(),
		})
		k := NewTracker(Config{
			Self: strconv.Itoa(i), Clock: f.clock, Peers: f, Events: recorder, Rand: rand.New(rand.NewPCG(1, 2)),
		})
		k.spawn = func(f func()) { f() }
		f.hosts = append(f.hosts, k)
	}
	f.updateViews()
	return f
}

func (f *fleet) updateViews() {
	var v member.View
	for i := range f.hosts {
		v.Members = append(v.Members, member.Member{ID: strconv.Itoa(i)})
	}
	for _, h := range f.hosts {
		h.UpdateView(v)
	}
}

func (f *fleet) flush() {
	for range 2 {
		for _, h := range f.hosts {
			h.flush(context.Background())
		}
	}
}

func request(i int) Fingerprint {
	return NewFingerprint("desk", "catalogue", "GET", "/"+strconv.Itoa(i), nil)
}

// referenceCrash is what an observer of the whole fleet saw when a server went down.
type referenceCrash struct {
	target   string
	at       time.Time
	inFlight map[int]bool
}

// referenceModel decides from the full history, by the rules as they are stated in the documentation.
type referenceModel struct {
	running  map[string][]int
	crashes  []*referenceCrash
	answered map[hostRequest]time.Time
}

// hostRequest names a request that a host has had answered.
type hostRequest struct {
	host    *Tracker
	request int
}

// recentlyAnswered tells whether the host had the request answered a short time before it was in flight at a
// server that went down.
func (n *referenceModel) recentlyAnswered(host *Tracker, r int, down time.Time) bool {
	when, ok := n.answered[hostRequest{host, r}]
	return ok && !when.Before(down.Add(-defaultAnswerWindow))
}

func (n *referenceModel) completed(r int) {
	for _, c := range n.crashes {
		delete(c.inFlight, r)
	}
}

func (n *referenceModel) targets(r int) (names map[string]bool, second time.Time, score float64) {
	names = map[string]bool{}
	for _, c := range n.crashes {
		if !c.inFlight[r] {
			continue
		}
		if !names[c.target] {
			score += 1 / float64(len(c.inFlight))
			names[c.target] = true
			if len(names) == 2 {
				second = c.at
			}
		}
	}
	return names, second, score
}

func (n *referenceModel) state(r, requests int) State {
	names, second, _ := n.targets(r)
	if len(names) == 0 {
		return 0
	}
	if !n.repeated(r) {
		return Suspected
	}
	others, unexplained := 0, 0
	for o := range requests {
		_, at, _ := n.targets(o)
		if n.repeated(o) && at.Sub(second).Abs() <= defaultCorrelationWindow {
			others++
		}
	}
	for _, c := range n.crashes {
		explained := false
		for o := range c.inFlight {
			explained = explained || n.repeated(o)
		}
		if !explained && c.at.Sub(second).Abs() <= defaultCorrelationWindow {
			unexplained++
		}
	}
	if others > defaultMaxCandidates || unexplained > len(names) {
		return Suspected
	}
	return Quarantined
}

func (n *referenceModel) repeated(r int) bool {
	names, _, score := n.targets(r)
	return len(names) >= 2 && score >= defaultMinScore
}

// TestAgreesWithNaiveTable runs requests and crashes through several hosts and compares the state of
// each request on each host with the naive table's.
func TestAgreesWithNaiveTable(t *testing.T) {
	const requests, targets = 8, 6
	seen := map[State]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "hosts"))
		n := &referenceModel{running: map[string][]int{}, answered: map[hostRequest]time.Time{}}
		type run struct {
			host    *Tracker
			request int
			target  string
		}
		var runs []run
		down := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := "t" + strconv.Itoa(rapid.IntRange(0, targets-1).Draw(t, "target"))
			r := rapid.IntRange(0, requests-1).Draw(t, "request")
			host := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"start", "start", "start", "finish", "crash", "crash", "wait"}).Draw(t, "step") {
			case "start":
				host.RequestStarted(request(r), at)
				runs = append(runs, run{host, r, at})
			case "finish":
				if len(runs) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				done := runs[i]
				runs = append(runs[:i], runs[i+1:]...)
				done.host.RequestEnded(request(done.request), done.target, true)
				n.completed(done.request)
				n.answered[hostRequest{done.host, done.request}] = f.clock.Now()
			case "crash":
				f.clock.Advance(time.Second)
				crash := &referenceCrash{target: at, at: f.clock.Now(), inFlight: map[int]bool{}}
				var left []run
				for _, run := range runs {
					if run.target != at {
						left = append(left, run)
						continue
					}
					if !n.recentlyAnswered(run.host, run.request, crash.at) {
						crash.inFlight[run.request] = true
					}
					run.host.RequestEnded(request(run.request), at, false)
				}
				runs = left
				if len(crash.inFlight) > 0 {
					n.crashes = append(n.crashes, crash)
				}
				host.ServerDown("catalogue", at, f.clock.Now())
				f.flush()
				f.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second}).Draw(t, "pause"))
				// A crash of the same target within the time that counts as one event is not drawn.
				if last, ok := down[at]; ok && crash.at.Sub(last) <= defaultCorrelationWindow {
					t.Skip("same target twice")
				}
				down[at] = crash.at
			case "wait":
				f.clock.Advance(4 * time.Second)
			}
			f.flush()
			for r := range requests {
				want := n.state(r, requests)
				seen[want]++
				for i, h := range f.hosts {
					if e, _ := h.Check(request(r)); e.State != want {
						t.Fatalf("request %d at host %d: state %d, naive table says %d", r, i, e.State, want)
					}
				}
			}
		}
	})
	t.Log("states compared:", seen)
}

// crashWith brings a target down with requests in flight there.
func (f *fleet) crashWith(target string, requests ...int) {
	h := f.hosts[0]
	for _, r := range requests {
		h.RequestStarted(request(r), target)
	}
	for _, r := range requests {
		h.RequestEnded(request(r), target, false)
	}
	h.ServerDown("catalogue", target, f.clock.Now())
	f.flush()
	f.clock.Advance(time.Second)
}

func TestInnocentBesideIsCleared(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1, 2)
	f.hosts[1].RequestStarted(request(2), "t1")
	f.hosts[1].RequestEnded(request(2), "t1", true)
	f.flush()
	f.crashWith("t1", 1)
	for _, h := range f.hosts {
		guilty, _ := h.Check(request(1))
		_, watched := h.Check(request(2))
		is.Equal(guilty.State, Quarantined)
		is.True(!watched)
	}
	var refused *RefusedError
	_, err := f.hosts[2].Acquire(context.Background(), request(1))
	is.True(errors.As(err, &refused))
	is.Equal(refused.Entry.Targets, []string{"t0", "t1"})
	f.clock.Advance(defaultRetention)
	_, watched := f.hosts[2].Check(request(1))
	is.True(!watched)
}

func TestMassCrashQuarantinesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for i := range 8 {
		f.crashWith("t"+strconv.Itoa(i), i, i+1)
	}
	is.Equal(f.hosts[1].Stats().Quarantined, 0)
	is.True(f.hosts[1].Stats().Suspected > 0)
}

func TestNewcomerIsTold(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1)
	f.crashWith("t1", 1)
	f.hosts = append(f.hosts, newFleet(4).hosts[3])
	f.hosts[3].cfg.Clock, f.hosts[3].cfg.Peers = f.clock, f
	f.updateViews()
	f.flush()
	e, _ := f.hosts[3].Check(request(1))
	is.Equal(e.State, Quarantined)
}

func TestSuspectRunsOnOneServerAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1)
	first, err := f.hosts[0].Acquire(context.Background(), request(1))
	is.NoErr(err)
	ended, stop := context.WithCancel(context.Background())
	stop()
	var busy *NoPermitError
	_, err = f.hosts[1].Acquire(ended, request(1))
	is.True(errors.As(err, &busy))
	first.Release(context.Background(), true)
	_, err = f.hosts[1].Acquire(ended, request(1))
	is.True(errors.As(err, &busy)) // the permit lingers after a broken connection
	f.clock.Advance(defaultPermitLinger)
	second, err := f.hosts[1].Acquire(context.Background(), request(1))
	is.NoErr(err)
	second.Release(context.Background(), false)
	_, err = f.hosts[2].Acquire(context.Background(), request(1))
	is.NoErr(err)
}

// A server that stays down is found down again and again, with nothing in flight there.
func TestServerThatStaysDownLeavesNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 2 * defaultMaxCrashes {
		f.crashWith("t9")
		f.clock.Advance(defaultCorrelationWindow)
	}
	is.Equal(f.hosts[1].Stats().Crashes, 0)
	f.crashWith("t0", 1)
	f.crashWith("t1", 1)
	e, _ := f.hosts[1].Check(request(1))
	is.Equal(e.State, Quarantined)
}

// TestPopularRequestIsNotQuarantined has a query that every caller sends in flight at two servers that
// go down, while it is answered elsewhere.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	popular := request(7)
	for _, h := range f.hosts {
		h.RequestStarted(popular, "healthy")
		h.RequestEnded(popular, "healthy", true)
	}
	for i, server := range []string{"a", "b"} {
		f.clock.Advance(time.Second)
		f.hosts[i].RequestStarted(popular, server)
		f.hosts[i].RequestEnded(popular, server, false)
		f.hosts[i].ServerDown("catalogue", server, f.clock.Now())
		f.flush()
	}
	for _, h := range f.hosts {
		_, watched := h.Check(popular)
		is.True(!watched)
	}
}

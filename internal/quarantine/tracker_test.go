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

// fleet is a set of trackers that deliver messages to each other synchronously.
type fleet struct {
	clock *clock.Manual
	hosts []*Tracker
	cut   map[string]bool // hosts that don't answer
}

func (f *fleet) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, &MessageError{Part: "stream"}
}

func (f *fleet) Call(_ context.Context, id string, _ peer.Method, req, resp proto.Message) error {
	i, err := strconv.Atoi(id)
	if err != nil {
		return err
	}
	if f.cut[id] {
		return errUnreachable
	}
	reply, err := f.hosts[i].handleQuestion(proto.Clone(req).(*quarantinepb.Question))
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
		tracker := NewTracker(Config{
			Self: strconv.Itoa(i), Clock: f.clock, Peers: f, Events: recorder, Rand: rand.New(rand.NewPCG(1, 2)),
		})
		tracker.spawn = func(f func()) { f() }
		f.hosts = append(f.hosts, tracker)
	}
	f.updateViews()
	return f
}

// updateViews gives every host a membership view that holds all hosts.
func (f *fleet) updateViews() {
	var v member.View
	for i := range f.hosts {
		v.Members = append(v.Members, member.Member{ID: strconv.Itoa(i)})
	}
	for _, h := range f.hosts {
		h.UpdateView(v)
	}
}

// flush flushes all hosts twice, so that reports that hosts add on receipt of another are delivered too.
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

// referenceCrash is a crash as an observer of the whole fleet sees it.
type referenceCrash struct {
	target   string
	at       time.Time
	inFlight map[int]bool
}

// referenceModel derives the states of requests from the full history, by the documented rules.
type referenceModel struct {
	running  map[string][]int
	crashes  []*referenceCrash
	answered map[hostRequest]time.Time
}

// hostRequest identifies a request that was answered on a host.
type hostRequest struct {
	host    *Tracker
	request int
}

// recentlyAnswered reports whether the request was answered on the host within defaultAnswerWindow before a
// server went down.
func (m *referenceModel) recentlyAnswered(host *Tracker, r int, downAt time.Time) bool {
	at, ok := m.answered[hostRequest{host, r}]
	return ok && !at.Before(downAt.Add(-defaultResponseWindow))
}

func (m *referenceModel) completed(r int) {
	for _, c := range m.crashes {
		delete(c.inFlight, r)
	}
}

// history returns the number of crashes that the request was in flight at, the time of the crash that made it eligible
// for quarantine (two servers, or three crashes of one), or the zero time, and the score.
func (m *referenceModel) history(r int) (crashes int, eligibleAt time.Time, score float64) {
	names := map[string]bool{}
	for _, c := range m.crashes {
		if !c.inFlight[r] {
			continue
		}
		crashes++
		names[c.target] = true
		score += 1 / float64(len(c.inFlight))
		if eligibleAt.IsZero() && (len(names) == 2 || crashes == 3) {
			eligibleAt = c.at
		}
	}
	return crashes, eligibleAt, score
}

func (m *referenceModel) state(r, requests int) State {
	crashes, eligibleAt, _ := m.history(r)
	if crashes == 0 {
		return 0
	}
	if !m.eligible(r) {
		return Suspected
	}
	candidates, unexplained := 0, 0
	// A request that was in flight at three servers is compared only with those that were in flight at as many.
	servers, limit := m.servers(r), maxStrongCandidates
	strong := servers >= 3
	if !strong {
		servers, limit = 0, defaultMaxCandidates
	}
	for o := range requests {
		_, at, _ := m.history(o)
		if m.eligible(o) && at.Sub(eligibleAt).Abs() <= defaultCorrelationWindow && m.servers(o) >= servers {
			candidates++
		}
	}
	for _, c := range m.crashes {
		explained := false
		for o := range c.inFlight {
			explained = explained || m.eligible(o)
		}
		if !explained && c.at.Sub(eligibleAt).Abs() <= defaultCorrelationWindow {
			unexplained++
		}
	}
	if candidates > limit || (!strong && unexplained > crashes) {
		return Suspected
	}
	return Quarantined
}

// servers returns the number of servers that crashed with the request in flight.
func (m *referenceModel) servers(r int) int {
	names := map[string]bool{}
	for _, c := range m.crashes {
		if c.inFlight[r] {
			names[c.target] = true
		}
	}
	return len(names)
}

// eligible reports whether the request would be quarantined if there were no mass crash.
func (m *referenceModel) eligible(r int) bool {
	_, eligibleAt, score := m.history(r)
	return !eligibleAt.IsZero() && score >= defaultMinScore
}

// TestStatesMatchReferenceModel runs requests and crashes through several hosts and compares the state of each
// request on each host with that of the reference model.
func TestStatesMatchReferenceModel(t *testing.T) {
	const requests, targets = 8, 6
	seen := map[State]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "hosts"))
		m := &referenceModel{running: map[string][]int{}, answered: map[hostRequest]time.Time{}}
		type run struct {
			host    *Tracker
			request int
			target  Target
		}
		// Without incarnations, crashes of one server within the correlation window are one crash.
		incarnations := rapid.Bool().Draw(t, "incarnations are known")
		incarnation := map[string]int64{}
		var runs []run
		down := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := "t" + strconv.Itoa(rapid.IntRange(0, targets-1).Draw(t, "target"))
			target := Target{Name: name, Incarnation: incarnation[name]}
			r := rapid.IntRange(0, requests-1).Draw(t, "request")
			host := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"start", "start", "start", "finish", "crash", "crash", "wait"}).Draw(t, "step") {
			case "start":
				host.RequestStarted(request(r), target)
				runs = append(runs, run{host, r, target})
			case "finish":
				if len(runs) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				done := runs[i]
				runs = append(runs[:i], runs[i+1:]...)
				done.host.RequestEnded(request(done.request), done.target, true)
				m.completed(done.request)
				m.answered[hostRequest{done.host, done.request}] = f.clock.Now()
			case "crash":
				f.clock.Advance(time.Second)
				crash := &referenceCrash{target: name, at: f.clock.Now(), inFlight: map[int]bool{}}
				var left []run
				for _, run := range runs {
					if run.target != target {
						left = append(left, run)
						continue
					}
					if !m.recentlyAnswered(run.host, run.request, crash.at) {
						crash.inFlight[run.request] = true
					}
					run.host.RequestEnded(request(run.request), target, false)
				}
				runs = left
				if len(crash.inFlight) > 0 {
					m.crashes = append(m.crashes, crash)
				}
				host.ServerDown("catalogue", target, f.clock.Now())
				f.flush()
				f.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second}).Draw(t, "pause"))
				// The model doesn't merge crashes of one target within the correlation window.
				if last, ok := down[name]; ok && !incarnations && crash.at.Sub(last) <= defaultCorrelationWindow {
					t.Skip("same target twice")
				}
				down[name] = crash.at
				if incarnations {
					incarnation[name] = crash.at.UnixMilli()
				}
			case "wait":
				f.clock.Advance(4 * time.Second)
			}
			f.flush()
			for r := range requests {
				want := m.state(r, requests)
				seen[want]++
				for i, h := range f.hosts {
					if e, _ := h.Check(request(r)); e.State != want {
						t.Fatalf("request %d at host %d: state %d, reference model has %d", r, i, e.State, want)
					}
				}
			}
		}
	})
	t.Log("states compared:", seen)
}

// crashWith makes a target go down with the requests in flight there.
func (f *fleet) crashWith(target string, requests ...int) {
	h := f.hosts[0]
	for _, r := range requests {
		h.RequestStarted(request(r), Target{Name: target})
	}
	for _, r := range requests {
		h.RequestEnded(request(r), Target{Name: target}, false)
	}
	h.ServerDown("catalogue", Target{Name: target}, f.clock.Now())
	f.flush()
	f.clock.Advance(time.Second)
}

// A server that crashes returns under its name. Its crashes counted as one, so that a request that crashes it each time
// was never quarantined where the service has no second server (review/3).
func TestRequestThatCrashesOneServerRepeatedlyIsQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for crash := range minCrashesOfOneServer {
		host := f.hosts[crash%len(f.hosts)]
		e, _ := host.Check(request(1))
		is.True(e.State != Quarantined)
		target := Target{Name: "t0", Incarnation: f.clock.Now().UnixMilli()}
		host.RequestStarted(request(1), target)
		host.RequestStarted(request(2+crash), target) // another request each time
		for _, r := range []int{1, 2 + crash} {
			host.RequestEnded(request(r), target, false)
		}
		host.ServerDown("catalogue", target, f.clock.Now())
		f.flush()
		f.clock.Advance(defaultCorrelationWindow / 2) // the server is back before the window has ended
	}
	for _, h := range f.hosts {
		e, _ := h.Check(request(1))
		is.Equal(e.State, Quarantined)
		is.Equal(e.Targets, []string{"t0"})
		other, _ := h.Check(request(2))
		is.Equal(other.State, Suspected)
	}
}

// Reports of several hosts on the crash of one incarnation are one crash.
func TestReportsOnOneIncarnationAreOneCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	target := Target{Name: "t0", Incarnation: 7}
	for _, h := range f.hosts {
		h.RequestStarted(request(1), target)
		h.RequestEnded(request(1), target, false)
	}
	for _, h := range f.hosts {
		h.ServerDown("catalogue", target, f.clock.Now())
		f.flush()
		f.clock.Advance(time.Second)
	}
	for _, h := range f.hosts {
		e, _ := h.Check(request(1))
		is.Equal(e.State, Suspected)
		is.Equal(h.Stats().Crashes, 1)
	}
}

// A request that was in flight at a crash together with its cause is cleared once it completes elsewhere.
func TestRequestThatCompletesElsewhereIsCleared(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1, 2)
	f.hosts[1].RequestStarted(request(2), Target{Name: "t1"})
	f.hosts[1].RequestEnded(request(2), Target{Name: "t1"}, true)
	f.flush()
	f.crashWith("t1", 1)
	for _, h := range f.hosts {
		cause, _ := h.Check(request(1))
		_, found := h.Check(request(2))
		is.Equal(cause.State, Quarantined)
		is.True(!found)
	}
	var refused *RefusedError
	_, err := f.hosts[2].Acquire(context.Background(), request(1))
	is.True(errors.As(err, &refused))
	is.Equal(refused.Entry.Targets, []string{"t0", "t1"})
	f.clock.Advance(defaultRetention)
	_, found := f.hosts[2].Check(request(1))
	is.True(!found)
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

func TestNewMemberReceivesEvidence(t *testing.T) {
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
	cancelled, stop := context.WithCancel(context.Background())
	stop()
	var noPermit *NoPermitError
	_, err = f.hosts[1].Acquire(cancelled, request(1))
	is.True(errors.As(err, &noPermit))
	first.Release(context.Background(), true)
	_, err = f.hosts[1].Acquire(cancelled, request(1))
	is.True(errors.As(err, &noPermit)) // the permit is held for a while after a broken connection
	f.clock.Advance(defaultPermitLinger)
	second, err := f.hosts[1].Acquire(context.Background(), request(1))
	is.NoErr(err)
	second.Release(context.Background(), false)
	_, err = f.hosts[2].Acquire(context.Background(), request(1))
	is.NoErr(err)
}

// Checks find a server that stays down to be down repeatedly, with no request in flight there. These crashes
// must not fill the evidence table.
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

// TestPopularRequestIsNotQuarantined has a query in flight at two servers that go down. All callers send this
// query, so it was recently answered elsewhere.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	popular := request(7)
	for _, h := range f.hosts {
		h.RequestStarted(popular, Target{Name: "healthy"})
		h.RequestEnded(popular, Target{Name: "healthy"}, true)
	}
	for i, server := range []string{"a", "b"} {
		f.clock.Advance(time.Second)
		f.hosts[i].RequestStarted(popular, Target{Name: server})
		f.hosts[i].RequestEnded(popular, Target{Name: server}, false)
		f.hosts[i].ServerDown("catalogue", Target{Name: server}, f.clock.Now())
		f.flush()
	}
	for _, h := range f.hosts {
		_, found := h.Check(popular)
		is.True(!found)
	}
}

package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Runner sends the load of a plan. Zero fields other than Endpoints take their defaults.
type Runner struct {
	Endpoints []Endpoint
	// MaxInFlight limits the requests in flight. Arrivals beyond it are not sent and counted as Unsent.
	MaxInFlight int
	// CheckInterval is the interval between readiness checks of an endpoint. Default 100 ms.
	CheckInterval time.Duration
	// SpinWait waits for each arrival in a busy loop, for precise timing. It occupies a core.
	SpinWait bool
	// Events are executed at their times. They must not block for long.
	Events []Event
}

// Event is an action at a time during a run, counted from the start of the run.
type Event struct {
	At time.Duration
	Do func(context.Context)
}

// Defaults of a Runner.
const (
	defaultMaxInFlight   = 20_000
	defaultCheckInterval = 100 * time.Millisecond
	// responseGracePeriod is the time after the deadline for which a response is still awaited.
	responseGracePeriod = 2 * time.Second
	// defaultDeadline applies to classes without a deadline.
	defaultDeadline = 30 * time.Second
	// resendDelay is the time that a caller waits before it sends a request again.
	resendDelay = 50 * time.Millisecond
	// spinThreshold is the remaining time below which a runner with SpinWait uses a busy loop.
	spinThreshold = 300 * time.Microsecond
	// maxConnectAttempts is the maximum number of endpoints tried when connections fail.
	maxConnectAttempts = 4
)

// run is the state of one execution.
type run struct {
	plan        *Plan
	balancer    *balancer
	client      *http.Client
	samples     []Sample
	start       time.Time
	inFlight    atomic.Int64
	maxInFlight int64
	requests    sync.WaitGroup
}

// Run sends the plan's load and returns one sample per arrival. When ctx is done, it aborts the requests
// in flight and returns early.
func (r *Runner) Run(ctx context.Context, plan *Plan) []Sample {
	ctx, cancel := context.WithCancel(ctx)
	transport := newTransport()
	defer transport.CloseIdleConnections()
	x := &run{
		plan:        plan,
		balancer:    newBalancer(r.Endpoints, rand.New(rand.NewPCG(plan.Seed, 1))),
		client:      &http.Client{Transport: transport},
		maxInFlight: int64(r.MaxInFlight),
	}
	if x.maxInFlight <= 0 {
		x.maxInFlight = defaultMaxInFlight
	}
	interval := r.CheckInterval
	if interval <= 0 {
		interval = defaultCheckInterval
	}
	var background sync.WaitGroup
	background.Go(func() { x.balancer.watchReadiness(ctx, interval) })
	arrivals := plan.Schedule()
	x.samples = make([]Sample, len(arrivals))
	x.start = time.Now()
	for _, e := range r.Events {
		background.Go(func() {
			if sleepUntil(ctx, x.start.Add(e.At), false) {
				e.Do(ctx)
			}
		})
	}
	x.dispatch(ctx, arrivals, r.SpinWait)
	x.requests.Wait()
	cancel()
	background.Wait()
	return x.samples
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: 4096,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// dispatch starts a request for each arrival at its intended time.
func (x *run) dispatch(ctx context.Context, arrivals []Arrival, spinWait bool) {
	for i, a := range arrivals {
		x.samples[i].Arrival = a
		if !sleepUntil(ctx, x.start.Add(a.At), spinWait) {
			return
		}
		if x.inFlight.Load() >= x.maxInFlight {
			continue
		}
		x.inFlight.Add(1)
		x.requests.Go(func() {
			x.sendWithResends(ctx, i)
			x.inFlight.Add(-1)
		})
	}
}

// sleepUntil waits until t or until ctx is done. It reports whether ctx is not done.
func sleepUntil(ctx context.Context, t time.Time, spinWait bool) bool {
	wait := time.Until(t)
	if spinWait {
		wait -= spinThreshold
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for spinWait && time.Now().Before(t) {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// sendWithResends sends the i-th request. It resends a keyed request up to class.MaxResends times, until
// it is answered, its response is corrupt or its deadline and grace period are over.
func (x *run) sendWithResends(ctx context.Context, i int) {
	s := &x.samples[i]
	class := &x.plan.Classes[s.Class]
	deadline := class.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	s.Deadline = deadline
	intended := x.start.Add(s.At)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(deadline+responseGracePeriod))
	defer cancel()
	s.Endpoint = -1
	for range class.MaxResends + 1 {
		x.sendOnce(ctx, i, class)
		if !class.Keyed || s.Verdict == Answered || s.Verdict == Corrupt || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, time.Now().Add(resendDelay), false)
	}
	s.Latency = time.Since(intended)
	if s.Verdict == Answered && s.Latency > deadline {
		s.Verdict = Late
	}
}

// sendOnce sends the i-th request once. If the connection fails, it marks the endpoint as not ready and
// tries another one, like the platform's load balancer.
func (x *run) sendOnce(ctx context.Context, i int, class *Class) {
	s := &x.samples[i]
	for range maxConnectAttempts {
		s.Endpoint = x.balancer.pick(s.Endpoint)
		s.Attempts++
		err := x.roundTrip(ctx, i, class)
		if !isDialError(err) {
			return
		}
		s.Attempts--
		x.balancer.ready[s.Endpoint].Store(false)
	}
}

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (x *run) roundTrip(ctx context.Context, i int, class *Class) error {
	s := &x.samples[i]
	id := x.plan.ID(i)
	body := backend.ResponseBody(id, class.RequestBodySize)
	resp, err := x.client.Do(x.newRequest(ctx, s, class, id, body))
	if err != nil {
		s.recordError(err)
		return err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	s.Status = resp.StatusCode
	s.Server = resp.Header.Get(backend.HeaderServer)
	s.Detail = resp.Header.Get(headerStatus)
	if err != nil {
		s.recordError(err)
		s.Status = resp.StatusCode
		return nil
	}
	expected := body
	if class.ResponseBodySize > 0 {
		expected = backend.ResponseBody(id, class.ResponseBodySize)
	}
	s.Verdict = classifyResponse(resp, respBody, id, expected)
	return nil
}

// recordError records an exchange without a complete response.
func (s *Sample) recordError(err error) {
	s.Verdict, s.Status, s.Server = ConnectionFailed, 0, ""
	if errors.Is(err, context.DeadlineExceeded) {
		s.Verdict = TimedOut
	}
	s.Detail = err.Error()
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		s.Detail = wrapped.Err.Error()
	}
}

func (x *run) newRequest(ctx context.Context, s *Sample, class *Class, id string, body []byte) *http.Request {
	var content io.Reader
	if len(body) > 0 {
		content = bytes.NewReader(body)
	}
	target := x.balancer.endpoints[s.Endpoint].URL + class.Path
	req, err := http.NewRequestWithContext(ctx, class.Method, target, content)
	if err != nil {
		panic(err) // classes and endpoints are validated before the run
	}
	h := req.Header
	h.Set(backend.HeaderRequestID, id)
	h.Set(backend.HeaderWork, s.ServiceTime.String())
	if class.ResponseBodySize > 0 {
		h.Set(backend.HeaderBodySize, strconv.Itoa(class.ResponseBodySize))
	}
	if class.Keyed {
		h.Set(headerKey, strconv.Quote(id))
	}
	if s.Caller >= 0 && x.plan.Callers[s.Caller].Token != "" {
		h.Set("Authorization", "Bearer "+x.plan.Callers[s.Caller].Token)
	}
	return req
}

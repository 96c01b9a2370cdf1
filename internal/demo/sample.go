package demo

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// SampleError reports a failed check of the sample requests.
type SampleError struct {
	Problem string
	Got     string
}

// Error implements error.
func (e *SampleError) Error() string { return "sample requests: " + e.Problem + ": " + e.Got }

const (
	sampleRate        = 60 // requests per second
	sampleDuration    = 2 * time.Second
	sampleServiceTime = 20 * time.Millisecond
	sampleBodySize    = 200 // bytes
	// maxSampleResends is the maximum number of times that a booking is sent again with its key.
	maxSampleResends = 3
)

// runSampleRequests sends requests of every route from every caller and checks the responses.
func runSampleRequests(ctx context.Context, cfg Config, c *harness.Cluster) error {
	plan := &load.Plan{
		Profile: load.Steady(sampleRate, sampleDuration),
		Classes: Classes(c.Declaration),
		Callers: Callers(c.Declaration),
		Seed:    uint64(time.Now().UnixNano()),
		Prefix:  "sample-",
	}
	runner := load.Runner{Endpoints: Endpoints(c)}
	samples := runner.Run(ctx, plan)
	results := load.AggregateByClass(plan, samples)
	if err := load.WriteTable(cfg.Out, results); err != nil {
		return err
	}
	if again := countResent(samples); again > 0 {
		fmt.Fprintf(cfg.Out, "%d requests were sent again with their idempotency key\n", again)
	}
	all := results[len(results)-1]
	if all.Counts[load.Answered] != all.Requests() || all.Requests() == 0 {
		return &SampleError{Problem: "not all were answered", Got: fmt.Sprint(all.Summary().Counts, failureReasons(samples))}
	}
	if err := checkDuplicateKey(ctx, cfg, c); err != nil {
		return err
	}
	return checkRuns(ctx, cfg, c)
}

// failureReasons counts the requests without a valid response by reason.
func failureReasons(samples []load.Sample) map[string]int {
	counts := map[string]int{}
	for i := range samples {
		if s := &samples[i]; s.Verdict != load.Answered {
			counts[fmt.Sprintf("%s through endpoint %d after %v: %s", s.Verdict, s.Endpoint, s.At.Round(time.Millisecond), s.Detail)]++
		}
	}
	return counts
}

func countResent(samples []load.Sample) int {
	n := 0
	for i := range samples {
		if samples[i].Attempts > 1 {
			n++
		}
	}
	return n
}

// Classes returns a load class for each route of the declaration, with the route's deadline.
func Classes(d *config.Declaration) []load.Class {
	var classes []load.Class
	for _, service := range slices.Sorted(maps.Keys(d.Services)) {
		routes := d.Services[service].Routes
		for _, name := range slices.Sorted(maps.Keys(routes)) {
			classes = append(classes, routeClass(name, routes[name]))
		}
	}
	return classes
}

func routeClass(name string, route *config.DeclaredRoute) load.Class {
	class := load.Class{Name: name, Method: http.MethodGet, Path: route.PathPrefix, Weight: 1, ServiceTime: sampleServiceTime}
	if len(route.Methods) > 0 {
		class.Method = route.Methods[0]
	}
	if route.Deadline != nil {
		class.Deadline = time.Duration(*route.Deadline)
	}
	if !route.Idempotent {
		class.Keyed = true
		class.MaxResends = maxSampleResends
		class.RequestBodySize = sampleBodySize
	}
	return class
}

// Callers returns the callers of the declaration with the bearer tokens of the examples.
func Callers(d *config.Declaration) []load.Caller {
	var callers []load.Caller
	for _, name := range slices.Sorted(maps.Keys(d.Callers)) {
		callers = append(callers, load.Caller{Name: name, Token: name + harness.TokenSuffix, Weight: 1})
	}
	return callers
}

// Endpoints returns the cluster's entry hosts as load endpoints with readiness checks.
func Endpoints(c *harness.Cluster) []load.Endpoint {
	var endpoints []load.Endpoint
	for _, e := range c.Entries {
		endpoints = append(endpoints, load.Endpoint{URL: e.URL(), ReadyURL: e.AdminURL() + "/readyz", Region: e.Region, Weight: 1})
	}
	return endpoints
}

// checkDuplicateKey sends a booking through two entry hosts with the same idempotency key and checks
// that it ran once.
func checkDuplicateKey(ctx context.Context, cfg Config, c *harness.Cluster) error {
	class, found := firstKeyedClass(Classes(c.Declaration))
	if !found {
		return nil
	}
	id := "twice-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	token := Callers(c.Declaration)[0].Token
	for _, e := range c.Entries[:2] {
		status, err := sendKeyed(ctx, e.URL()+class.Path, class.Method, id, token)
		if err != nil {
			return err
		}
		fmt.Fprintf(cfg.Out, "%s with Idempotency-Key %q through %s: status %d\n", class.Name, id, e.ID, status)
	}
	runs, err := c.Platform.Runs(ctx, id)
	if err != nil {
		return err
	}
	if len(runs) != 1 {
		return &SampleError{Problem: "runs of one booking that was sent twice", Got: strconv.Itoa(len(runs))}
	}
	return nil
}

func firstKeyedClass(classes []load.Class) (load.Class, bool) {
	for _, class := range classes {
		if class.Keyed {
			return class, true
		}
	}
	return load.Class{}, false
}

func sendKeyed(ctx context.Context, url, method, id, token string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Idempotency-Key", strconv.Quote(id))
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set(backend.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// checkRuns checks the run log of the stand-in servers: no unsafe request ran more than once.
func checkRuns(ctx context.Context, cfg Config, c *harness.Cluster) error {
	sum, err := c.Platform.RunSummary(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "%d requests ran %d times; no booking ran more than %d times\n", sum.Requests, sum.Runs, sum.MaxUnsafeRuns)
	if sum.MaxUnsafeRuns > 1 {
		return &SampleError{Problem: "bookings that ran more than once", Got: fmt.Sprint(sum.RepeatedUnsafe)}
	}
	return nil
}

package capacity

import (
	"context"
	"fmt"
)

// Identifiers of the series measured by Go benchmarks.
const (
	slotChoice      = "slot-choice"
	slotAcquire     = "slot-acquire"
	memberCPU       = "member-processor"
	memberBytes     = "member-bytes"
	memberScripted  = "member-bytes-scripted"
	spreadHosts     = "revision-spread-hosts"
	spreadTargets   = "revision-spread-targets"
	revisionBytes   = "revision-bytes-hosts"
	revisionTargets = "revision-bytes-targets"
	storeCalls      = "store-calls"
	storeIdle       = "store-idle"
	switchTime      = "revision-switch"
	compileTime     = "compile"
	peerCall        = "peer-call"
	peerStream      = "peer-stream"
	dedupeBegin     = "dedupe-begin"
)

// benchmarkPoint is a size and the benchmark that measures the cost at this size.
type benchmarkPoint struct {
	x         float64
	benchmark string
}

// benchmarkSeries describes how a series is extracted from the output of a benchmark run.
type benchmarkSeries struct {
	id, title, x, y string
	unit            string
	points          []benchmarkPoint
	// scale converts the benchmark's unit to the unit of the y axis.
	scale float64
}

// suite is a run of go test with the series that are extracted from its output.
type suite struct {
	pkg, pattern string
	long, quick  string // values of -benchtime
	series       []benchmarkSeries
}

func benchmarkPoints(format string, xs ...float64) []benchmarkPoint {
	var all []benchmarkPoint
	for _, x := range xs {
		all = append(all, benchmarkPoint{x, fmt.Sprintf(format, x)})
	}
	return all
}

const (
	targets     = 6100
	nsToMicros  = 1e-3
	nsToMillis  = 1e-6
	perMinute   = 1.0 / 60
	axisTargets = "targets"
	axisHosts   = "entry hosts"
)

var fleetByHosts = []benchmarkPoint{{16, "BenchmarkFleet/hosts=16/targets=38"}, {400, "BenchmarkFleet/hosts=400/targets=38"}}

var fleetByTargets = []benchmarkPoint{{38, "BenchmarkFleet/hosts=16/targets=38"}, {targets, "BenchmarkFleet/hosts=16/targets=6100"}}

var suites = []suite{
	{"./internal/balance/slot", "^(BenchmarkChoose|BenchmarkAcquireRelease)$", "300ms", "10ms", []benchmarkSeries{
		{slotChoice, "choice of a target", axisTargets, "ns", "ns/op", benchmarkPoints("BenchmarkChoose/%v", 10, 100, 1000, targets), 1},
		{slotAcquire, "acquire and release of a slot", axisTargets, "ns", "ns/op", benchmarkPoints("BenchmarkAcquireRelease/%v", 10, 100, 1000, targets), 1},
	}},
	{"./internal/peer", "^(BenchmarkCall|BenchmarkOpenSendRecvSendClose)$", "1s", "50ms", []benchmarkSeries{
		{peerCall, "call between hosts, loopback", "calls at once", "µs", "ns/op", []benchmarkPoint{{1, "BenchmarkCall"}}, nsToMicros},
		{peerStream, "acquire and release over a stream, loopback", "streams at once", "µs", "ns/op", []benchmarkPoint{{1, "BenchmarkOpenSendRecvSendClose"}}, nsToMicros},
	}},
	{"./internal/dedupe", "^BenchmarkBegin$", "1s", "50ms", []benchmarkSeries{
		{dedupeBegin, "registration of an idempotency key", "callers at once", "µs", "ns/op", []benchmarkPoint{{1, "BenchmarkBegin"}}, nsToMicros},
	}},
	{"./internal/config", "^BenchmarkCompileCanonicalDesignSize$", "5x", "1x", []benchmarkSeries{
		{compileTime, "check and compile of a configuration", axisTargets, "ms", "ns/op", []benchmarkPoint{{targets, "BenchmarkCompileCanonicalDesignSize"}}, nsToMillis},
	}},
	{"./internal/revision", "^BenchmarkSwitchDesignSize$", "10x", "1x", []benchmarkSeries{
		{switchTime, "longest switch to a revision", axisTargets, "ms", "ms-max", []benchmarkPoint{{targets, "BenchmarkSwitchDesignSize"}}, 1},
	}},
	{"./internal/revision", "^BenchmarkFleet$", "1x", "1x", []benchmarkSeries{
		{spreadHosts, "acceptance to in force on all hosts, 38 targets", axisHosts, "ms", "ms-to-all", fleetByHosts, 1},
		{spreadTargets, "acceptance to in force on 16 hosts", axisTargets, "ms", "ms-to-all", fleetByTargets, 1},
		{revisionBytes, "bytes for revisions at 9,600 changes a day, sent and received, 38 targets", axisHosts, "B/s a host", "bytes/s/host", fleetByHosts, 1},
		{revisionTargets, "bytes for revisions at 9,600 changes a day, sent and received, 16 hosts", axisTargets, "B/s a host", "bytes/s/host", fleetByTargets, 1},
		{storeCalls, "calls to the store a change", axisHosts, "calls", "store-calls/change", fleetByHosts, 1},
		{storeIdle, "calls to the store without changes", axisHosts, "calls/s", "store-calls/idle-minute", fleetByHosts, perMinute},
	}},
	{"./internal/member", "^BenchmarkRealHosts$", "10x", "1x", []benchmarkSeries{
		{memberCPU, "processor time of the membership", axisHosts, "% of a core a host", "%core/host", benchmarkPoints("BenchmarkRealHosts/%v", 4, 16, 48), 1},
		{memberBytes, "bytes of the membership, sent", axisHosts, "B/s a host", "B/s/host", benchmarkPoints("BenchmarkRealHosts/%v", 4, 16, 48), 1},
	}},
}

// measureSuites runs the Go benchmarks and the membership cost test, and adds their series to f.
func measureSuites(ctx context.Context, run goTestFunc, f *Figures) {
	for _, s := range suites {
		s.measure(ctx, run, f)
	}
	args := []string{"-count=1", "-run", "Cost", "-v", "./internal/member"}
	out, err := run(ctx, args...)
	cost := Series{memberScripted, "bytes of the membership, sent, scripted time, five regions", axisHosts, "B/s a host", goTestCommand(args), ParseMemberCost(out)}
	if err == nil && len(cost.Points) == 0 {
		err = &NoResultError{Command: cost.Command, Benchmark: "the cost test", Unit: "B/s"}
	}
	f.add(cost, err)
}

func (s suite) measure(ctx context.Context, run goTestFunc, f *Figures) {
	benchtime := s.long
	if f.Quick {
		benchtime = s.quick
	}
	args := []string{"-run", "^$", "-bench", s.pattern, "-benchtime", benchtime, s.pkg}
	out, err := run(ctx, args...)
	results := ParseBenchmarks(out)
	for _, spec := range s.series {
		series, missing := spec.extract(results, goTestCommand(args))
		if err != nil {
			missing = err
		}
		f.add(series, missing)
	}
}

func (b benchmarkSeries) extract(results []Result, command string) (Series, error) {
	s := Series{ID: b.id, Title: b.title, X: b.x, Y: b.y, Command: command}
	for _, p := range b.points {
		v, ok := findValue(results, p.benchmark, b.unit)
		if !ok {
			return s, &NoResultError{Command: command, Benchmark: p.benchmark, Unit: b.unit}
		}
		s.Points = append(s.Points, Point{p.x, v * b.scale})
	}
	return s, nil
}

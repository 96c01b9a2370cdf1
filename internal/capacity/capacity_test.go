package capacity

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
)

const benchOutput = `goos: linux
cpu: Intel(R) Xeon(R) Processor
BenchmarkChoose/10-10         	   78866	       389.8 ns/op	       0 B/op	       0 allocs/op
BenchmarkFleet/hosts=16/targets=38-10 	 1	 9 ns/op	 120.5 ms-to-all
BenchmarkBroken-10
--- BENCH: BenchmarkChoose-10
PASS
`

func TestParseBenchmarks(t *testing.T) {
	is := is.New(t)
	results := ParseBenchmarks(benchOutput)
	is.Equal(len(results), 2)
	v, ok := findValue(results, "BenchmarkChoose/10", "ns/op")
	is.True(ok)
	is.Equal(v, 389.8)
	v, ok = findValue(results, "BenchmarkFleet/hosts=16/targets=38", "ms-to-all")
	is.True(ok)
	is.Equal(v, 120.5)
	_, ok = findValue(results, "BenchmarkChoose/10", "ms-max")
	is.True(!ok)
}

func TestParseMemberCost(t *testing.T) {
	is := is.New(t)
	points := ParseMemberCost("    x_test.go:2: 20 hosts: 1007 B/s and 10.9 messages/s sent per host\nok\n")
	is.Equal(points, []Point{{20, 1007}})
}

func TestLeastSquaresRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := Fit{rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")}
		var points []Point
		for _, x := range []float64{10, 100, 1000, 6100} {
			points = append(points, Point{x, line.At(x)})
		}
		got := LeastSquares(points)
		if math.Abs(got.Slope-line.Slope) > 1e-6 || math.Abs(got.Intercept-line.Intercept) > 1e-3 {
			t.Fatal(got, line)
		}
	})
}

func TestLeastSquaresOfEqualXIsMean(t *testing.T) {
	is := is.New(t)
	is.Equal(LeastSquares([]Point{{5, 2}, {5, 4}}), Fit{Intercept: 3})
	is.Equal(LeastSquares(nil), Fit{})
}

// sampleFigures returns figures with a CPU time per request of 1 ms on one host and 1.5 ms on four.
func sampleFigures() *Figures {
	return &Figures{Processors: 10, Series: []Series{
		{ID: requestOneHost, Y: "%", X: "requests/s", Points: []Point{{0, 1}, {1000, 101}}},
		{ID: requestFourHosts, Points: []Point{{0, 4}, {1000, 154}}},
		{ID: memoryTargetsStore, Points: []Point{{100, 20}, {targets, 300}}},
	}}
}

func TestEstimateFleetOfDesignSize(t *testing.T) {
	is := is.New(t)
	fl := EstimateFleet(sampleFigures())
	is.True(math.Abs(fl.LocalCPU-0.001) < 1e-9)
	is.True(math.Abs(fl.RemoteCPU-0.001) < 1e-9)
	is.True(math.Abs(fl.Cores-660) < 1e-6)
	is.Equal(fl.PerSite, 20.0) // 660 cores over 17 data centres, with 4 cores per host at 50% utilization
	is.Equal(fl.Hosts, 340.0)
	is.True(math.Abs(fl.utilizationAfterLoss(0.5)-2*fl.utilizationAfterLoss(0)) < 1e-9)
}

func TestRenderReportsMissedLimitsAndFailures(t *testing.T) {
	is := is.New(t)
	f := sampleFigures()
	f.InitialLoadAverage = 9
	f.Failures = []error{&MeasureError{"peer call", errors.New("refused\nsecond line")}}
	text := Render(f)
	for _, want := range []string{
		"| 340 hosts |", "128 MB: **missed by a factor of 2.34**", "0: 1; 1000: 101", "1 + 0.1·x",
		"busy with other work: **preliminary**", "- Not measured: peer call: refused\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %q:\n%s", want, text)
		}
	}
	is.True(!strings.Contains(text, "NaN") && !strings.Contains(text, "Inf"))
}

func TestRenderWithoutFiguresOmitsDerivedTables(t *testing.T) {
	is := is.New(t)
	is.True(!strings.Contains(Render(&Figures{Processors: 1}), "Entry hosts needed"))
}

func TestPublishKeepsRestOfPage(t *testing.T) {
	is := is.New(t)
	docs := t.TempDir()
	page := filepath.Join(docs, pageName)
	is.NoErr(os.WriteFile(page, []byte("head\n"+BeginMarker+"\nold\n"+EndMarker+"\ntail\n"), 0o600))
	is.NoErr(publish(sampleFigures(), docs))
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(text), "head\n"+BeginMarker))
	is.True(strings.HasSuffix(string(text), EndMarker+"\ntail\n"))
	is.True(!strings.Contains(string(text), "\nold\n"))
	_, err = os.Stat(filepath.Join(docs, plotDir, requestOneHost+".svg"))
	is.NoErr(err)
	_, err = ReplaceGenerated("no markers", "x")
	var missing *MarkerError
	is.True(errors.As(err, &missing))
}

func TestQuickRunsShortBenchmarksAndReportsFailures(t *testing.T) {
	is := is.New(t)
	f := &Figures{Quick: true}
	times := map[string]bool{}
	run := func(_ context.Context, args ...string) (string, error) {
		if len(args) > 5 {
			times[args[5]] = true
		}
		return benchOutput, nil
	}
	measureSuites(t.Context(), run, f)
	is.True(!times["300ms"] && times["10ms"])
	is.Equal(len(f.Series), 0) // the output lacks a size of each series
	var missing *NoResultError
	is.True(errors.As(f.Failures[0], &missing))
}

func TestAddTargetsGeneratesDesignSize(t *testing.T) {
	is := is.New(t)
	d := &config.Declaration{
		Regions:  map[string]*config.DeclaredRegion{"r": {Sites: map[string]*config.DeclaredDataCentre{"a": {}, "b": {}}}},
		Services: map[string]*config.DeclaredService{},
	}
	addTargets(d, targets)
	sum := 0
	for _, s := range d.Services {
		sum += len(s.Targets)
	}
	is.Equal(sum, targets)
	is.Equal(len(d.Services), 161)
}

func TestQuickMeasurementOfRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	bin, err := harness.Build()
	is.NoErr(err)
	t.Cleanup(harness.RemoveBuild)
	p := &processes{bin: bin, quick: true}
	memory, _, err := p.measureIdleHost(t.Context(), 1600, true)
	is.NoErr(err)
	is.True(memory > 1)
	cost, err := p.measureIdleFleet(t.Context(), 4)
	is.NoErr(err)
	is.True(cost.bytes > 0)
}

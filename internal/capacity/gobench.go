package capacity

import (
	"regexp"
	"strconv"
	"strings"
)

// Result is one result line of a Go benchmark.
type Result struct {
	// Name is the name of the benchmark and sub-benchmark, without the GOMAXPROCS suffix.
	Name string
	// Values maps units, such as ns/op, to figures.
	Values map[string]float64
}

var processorSuffix = regexp.MustCompile(`-\d+$`)

// ParseBenchmarks parses the output of go test -bench. It skips lines that aren't results.
func ParseBenchmarks(output string) []Result {
	var results []Result
	for line := range strings.Lines(output) {
		if r, ok := parseBenchmark(line); ok {
			results = append(results, r)
		}
	}
	return results
}

func parseBenchmark(line string) (Result, bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return Result{}, false
	}
	if _, err := strconv.Atoi(fields[1]); err != nil {
		return Result{}, false
	}
	r := Result{Name: processorSuffix.ReplaceAllString(fields[0], ""), Values: map[string]float64{}}
	for i := 2; i+1 < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Result{}, false
		}
		r.Values[fields[i+1]] = v
	}
	return r, true
}

// findValue returns the figure of a benchmark in a unit, and whether there is one.
func findValue(results []Result, name, unit string) (float64, bool) {
	for _, r := range results {
		if v, ok := r.Values[unit]; ok && r.Name == name {
			return v, true
		}
	}
	return 0, false
}

var memberCost = regexp.MustCompile(`(\d+) hosts: (\d+) B/s and ([\d.]+) messages/s sent per host`)

// ParseMemberCost parses the log of the membership cost test. It returns the bytes per second that each
// host sends, by the number of hosts.
func ParseMemberCost(output string) []Point {
	var points []Point
	for _, m := range memberCost.FindAllStringSubmatch(output, -1) {
		x, _ := strconv.ParseFloat(m[1], 64)
		y, _ := strconv.ParseFloat(m[2], 64)
		points = append(points, Point{x, y})
	}
	return points
}

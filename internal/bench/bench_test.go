package bench

import (
	"bytes"
	"math"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/load"
)

var linePattern = regexp.MustCompile(`^bench=[a-z-]+ site=(potcoava|pinselwerk) policy=[a-z-]+ [a-z0-9_]+=[0-9.e+-]+ unit=\S+ bound=\S+ verdict=(pass|fail)$`)

func TestLinesMatchDocumentedFormat(t *testing.T) {
	is := is.New(t)
	var lines, json bytes.Buffer
	env := &Env{Out: NewWriter(&lines, &json)}
	is.NoErr(env.write("tail", pinselwerk, policyOwner, "p99", "ms", AtMost(10), 9, 12.3456, 8))
	is.NoErr(env.write("crest", potcoava, policyRandom, "goodput", "capacity", AtLeast(0.95), 0.9))
	got := strings.Split(strings.TrimSpace(lines.String()), "\n")
	is.Equal(len(got), 3)
	for _, line := range got {
		is.True(linePattern.MatchString(line))
	}
	is.Equal(got[0], "bench=tail site=pinselwerk policy=owner p99=9 unit=ms bound=<=10 verdict=pass")
	is.Equal(got[2], "bench=crest site=potcoava policy=random goodput=0.9 unit=capacity bound=>=0.95 verdict=fail")
	is.True(strings.Contains(json.String(), `"runs":[9,12.3456,8]`))
}

func TestNonFiniteFiguresFailTheirBound(t *testing.T) {
	is := is.New(t)
	is.Equal(AtMost(1).verdict(math.NaN()), Fail)
	is.Equal(AtLeast(1).verdict(math.Inf(-1)), Fail)
	is.Equal(AtMost(1).verdict(math.Inf(1)), Fail)
	is.Equal(Unbounded.verdict(math.NaN()), Pass)
}

func TestUnknownBenchIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := selectBenches("tail,tial")
	is.True(strings.Contains(err.Error(), `value "tial" is not allowed`))
	chosen, err := selectBenches("tail,crest")
	is.NoErr(err)
	is.Equal(len(chosen), 2)
}

func TestGoodputExcludesLateResponses(t *testing.T) {
	is := is.New(t)
	samples := []load.Sample{
		{Arrival: load.Arrival{At: 0}, Latency: 500 * time.Millisecond, Verdict: load.Answered},
		{Arrival: load.Arrival{At: 0}, Latency: 600 * time.Millisecond, Verdict: load.Late},
		{Arrival: load.Arrival{At: 0}, Latency: 1500 * time.Millisecond, Verdict: load.Answered},
	}
	is.Equal(goodput(samples, 0, time.Second), 1.0)
}

func TestUnansweredRequestsCountWithTheirDeadline(t *testing.T) {
	is := is.New(t)
	samples := make([]load.Sample, 100)
	for i := range samples {
		samples[i] = load.Sample{Latency: time.Millisecond, Deadline: time.Second, Verdict: load.Answered}
	}
	samples[7].Verdict = load.Failed
	is.Equal(latencyQuantile(samples, inClass(0), 0.99), time.Millisecond)
	samples[8].Verdict = load.Unknown
	is.Equal(latencyQuantile(samples, inClass(0), 0.99), time.Second)
}

func TestWarmUpSamplesAreDropped(t *testing.T) {
	is := is.New(t)
	samples := dropWarmUp([]load.Sample{{Arrival: load.Arrival{At: 1}}, {Arrival: load.Arrival{At: 5}}, {Arrival: load.Arrival{At: 9}}}, 5)
	is.Equal(len(samples), 2)
	is.Equal(samples[1].At, time.Duration(4))
}

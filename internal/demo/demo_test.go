package demo

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBuild()
	os.Exit(code)
}

// Runs the demonstration with real processes: configuration from the store or from files, sample
// requests of every route and caller, one booking sent twice and a graceful shutdown.
func TestDemonstrationAnswersAllSampleRequests(t *testing.T) {
	bin, err := harness.Build()
	if err != nil {
		t.Fatal(err)
	}
	for name, cfg := range map[string]Config{
		"potcoava from the store":   {Example: "potcoava", FromStore: true},
		"pinselwerk from files":     {Example: "pinselwerk"},
		"pinselwerk from the store": {Example: "pinselwerk", FromStore: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			cfg.Bin, cfg.Once, cfg.Out = bin, true, &out
			err := Run(context.Background(), cfg)
			t.Log(out.String())
			is.NoErr(err)
			is.True(strings.Contains(out.String(), "all processes have ended with nothing in flight"))
		})
	}
}

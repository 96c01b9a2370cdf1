package bench

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/setting"
)

// All lists the benches in execution order.
var All = []Bench{
	benchAddedLatency,
	benchThroughput,
	benchTail,
	benchCrest,
	benchHOL,
	benchSlowServer,
	benchFailFast,
	benchColdStart,
	benchMeasureCost,
	benchSpill,
	benchDrain,
	benchRollingReplace,
	benchHostKill,
	benchAtMostOnceCost,
	benchConfigSpread,
}

// jsonFile is the name of the JSON lines file in the output directory.
const jsonFile = "bench.jsonl"

// Command returns the command line of bilberry-bench. It writes figures to out, and errors and
// diagnostics to errOut.
func Command(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "bilberry-bench",
		Usage:   "measures the balancer on loopback; exits 0 whatever the verdicts",
		Version: setting.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the built commands", Value: "bin", Sources: cli.EnvVars("BILBERRY_BIN")},
			&cli.StringFlag{Name: "out", Usage: "directory for " + jsonFile, Value: "out", Sources: cli.EnvVars("BILBERRY_BENCH_OUT")},
			&cli.StringFlag{Name: "bench", Usage: "benches to run, comma separated; default all of " + strings.Join(benchNames(), ", "), Sources: cli.EnvVars("BILBERRY_BENCH")},
			&cli.StringFlag{Name: "site", Usage: "potcoava or pinselwerk; default both", Sources: cli.EnvVars("BILBERRY_BENCH_SITE")},
			&cli.BoolFlag{Name: "long", Usage: "longer and more runs", Sources: cli.EnvVars("BILBERRY_BENCH_LONG")},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1, Sources: cli.EnvVars("BILBERRY_SEED")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, out, errOut) },
	}
}

func benchNames() []string {
	var all []string
	for _, b := range All {
		all = append(all, b.Name)
	}
	return all
}

func runCommand(ctx context.Context, cmd *cli.Command, out, errOut io.Writer) error {
	selected, err := selectBenches(cmd.String("bench"))
	if err != nil {
		return err
	}
	sites, err := selectDeployments(cmd.String("site"))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(cmd.String("out"), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(cmd.String("out"), jsonFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := &Env{
		Bin:         harness.Binaries(cmd.String("bin")),
		Long:        cmd.Bool("long"),
		Deployments: sites,
		Out:         NewWriter(out, file),
		Diagnostics: errOut,
		Seed:        cmd.Uint64("seed"),
	}
	return runAll(ctx, env, selected, errOut)
}

// runAll runs the benches one after another and continues after errors. It returns all errors.
func runAll(ctx context.Context, env *Env, selected []Bench, errOut io.Writer) error {
	var failed []error
	for _, b := range selected {
		if err := b.Run(ctx, env); err != nil {
			_, _ = io.WriteString(errOut, "bench "+b.Name+" could not measure: "+err.Error()+"\n")
			failed = append(failed, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failed...)
}

// selectBenches returns the benches named in a comma-separated list, or all benches if it is empty.
func selectBenches(list string) ([]Bench, error) {
	if list == "" {
		return All, nil
	}
	var selected []Bench
	for name := range strings.SplitSeq(list, ",") {
		b, found := findBench(name)
		if !found {
			return nil, &setting.InvalidError{Flag: "--bench", Env: "BILBERRY_BENCH", Value: name, Allowed: "some of " + strings.Join(benchNames(), ", ")}
		}
		selected = append(selected, b)
	}
	return selected, nil
}

func findBench(name string) (Bench, bool) {
	for _, b := range All {
		if b.Name == name {
			return b, true
		}
	}
	return Bench{}, false
}

// selectDeployments returns the deployment with the name, or all deployments if the name is empty.
func selectDeployments(name string) ([]deployment, error) {
	if name == "" {
		return allDeployments, nil
	}
	for _, d := range allDeployments {
		if d.name == name {
			return []deployment{d}, nil
		}
	}
	return nil, &setting.InvalidError{Flag: "--site", Env: "BILBERRY_BENCH_SITE", Value: name, Allowed: "potcoava or pinselwerk"}
}

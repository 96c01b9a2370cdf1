package load

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// Limits of a run started from the command line.
const (
	maxRate      = 20_000
	maxDuration  = 10 * time.Minute
	maxSwingRise = time.Second
)

// Command returns the command line of bilberry-load.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:                      "bilberry-load",
		Usage:                     "open-loop load with checked answers, for stand-in backend servers",
		Version:                   setting.Version,
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "an entry host, repeated: " + endpointSyntax, Sources: cli.EnvVars("BILBERRY_LOAD_URL")},
			&cli.FloatFlag{Name: "rate", Usage: "mean arrivals in requests/s, at most 20000", Value: 100, Sources: cli.EnvVars("BILBERRY_LOAD_RATE"), Validator: validateRange("rate", 0, maxRate)},
			&cli.DurationFlag{Name: "duration", Usage: "length of the run, at most 10m", Value: 10 * time.Second, Sources: cli.EnvVars("BILBERRY_LOAD_DURATION"), Validator: validateDuration},
			&cli.FloatFlag{Name: "swing", Usage: "factor by which the demand rises within 1s in the middle third of the run, 1 for none", Value: 1, Sources: cli.EnvVars("BILBERRY_LOAD_SWING"), Validator: validateRange("swing", 0, maxRate)},
			&cli.StringSliceFlag{Name: "class", Usage: "a class of requests, repeated: " + classSyntax},
			&cli.StringSliceFlag{Name: "caller", Usage: "a caller, repeated: " + callerSyntax},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule", Value: 1, Sources: cli.EnvVars("BILBERRY_SEED")},
			&cli.IntFlag{Name: "max-in-flight", Usage: "requests in flight beyond which arrivals are not sent", Value: defaultMaxInFlight, Sources: cli.EnvVars("BILBERRY_LOAD_MAX_IN_FLIGHT")},
			&cli.StringFlag{Name: "json", Usage: "file for the results as JSON lines, - for standard output", Sources: cli.EnvVars("BILBERRY_LOAD_JSON")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, out) },
	}
}

func validateRange(flag string, low, high float64) func(float64) error {
	return func(v float64) error {
		if v <= low || v > high {
			return &setting.InvalidError{Flag: "--" + flag, Value: strconv.FormatFloat(v, 'g', -1, 64), Allowed: "above 0, at most 20000"}
		}
		return nil
	}
}

func validateDuration(d time.Duration) error {
	if d <= 0 || d > maxDuration {
		return &setting.InvalidError{Flag: "--duration", Env: "BILBERRY_LOAD_DURATION", Value: d.String(), Allowed: "above 0, at most 10m"}
	}
	return nil
}

func runCommand(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	plan, endpoints, err := buildPlan(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runner := Runner{Endpoints: endpoints, MaxInFlight: cmd.Int("max-in-flight")}
	results := AggregateByClass(plan, runner.Run(ctx, plan))
	if err := writeJSONTo(cmd.String("json"), out, results); err != nil {
		return err
	}
	return WriteTable(out, results)
}

func buildPlan(cmd *cli.Command) (*Plan, []Endpoint, error) {
	endpoints, err := parseAll(cmd.StringSlice("url"), ParseEndpoint)
	if err != nil {
		return nil, nil, err
	}
	if len(endpoints) == 0 {
		return nil, nil, &setting.InvalidError{Flag: "--url", Env: "BILBERRY_LOAD_URL", Allowed: "at least one " + endpointSyntax}
	}
	classes, err := parseAll(cmd.StringSlice("class"), ParseClass)
	if err != nil {
		return nil, nil, err
	}
	if len(classes) == 0 {
		classes = []Class{Query(20*time.Millisecond, 2*time.Second)}
	}
	callers, err := parseAll(cmd.StringSlice("caller"), ParseCaller)
	if err != nil {
		return nil, nil, err
	}
	return &Plan{
		Profile: buildProfile(cmd.Float("rate"), cmd.Float("swing"), cmd.Duration("duration")),
		Classes: classes,
		Callers: callers,
		Seed:    cmd.Uint64("seed"),
		Prefix:  strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
	}, endpoints, nil
}

func buildProfile(rate, swing float64, d time.Duration) Profile {
	if swing == 1 {
		return Steady(rate, d)
	}
	third := d / 3
	rise := min(maxSwingRise, third/3)
	return Swing(rate, rate*swing, third, rise, third-2*rise, third)
}

func writeJSONTo(path string, out io.Writer, results []*Result) error {
	switch path {
	case "":
		return nil
	case "-":
		return WriteJSON(out, results)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return WriteJSON(file, results)
}

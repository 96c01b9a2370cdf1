package ctl

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/setting"
	"github.com/bilberryline/bilberryline/internal/timeline"
)

// Names of the flags of timeline.
const (
	flagRequest = "request"
	flagService = "service"
	flagTarget  = "target"
	flagSince   = "since"
	flagEvent   = "event"
	flagFollow  = "follow"
	flagFormat  = "format"
	flagFile    = "file"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all entry hosts in causal order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRequest, Usage: "show one request, by its trace id"},
			&cli.StringFlag{Name: flagService, Usage: "show events of a service"},
			&cli.StringFlag{Name: flagTarget, Usage: "show events of a backend server"},
			&cli.DurationFlag{Name: flagSince, Usage: "show events of the last time, such as 10m", Validator: checkSince},
			&cli.StringSliceFlag{Name: flagEvent, Usage: "show events by number (BL1300) or name, repeated", Validator: checkEvents},
			&cli.BoolFlag{Name: flagFollow, Aliases: []string{"f"}, Usage: "go on with new events until interrupted; text and json only"},
			&cli.StringFlag{
				Name: flagFormat, Value: string(timeline.FormatText), Sources: cli.EnvVars("BILBERRY_TIMELINE_FORMAT"),
				Usage: "form of output: " + formatNames(), Validator: checkFormat,
			},
			&cli.StringFlag{Name: flagFile, Usage: "write to this file in place of standard output"},
		},
		Action: showTimeline,
	}
}

func formatNames() string {
	var names []string
	for _, f := range timeline.Formats() {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

func checkFormat(value string) error {
	if slices.Contains(timeline.Formats(), timeline.Format(value)) {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagFormat, Env: "BILBERRY_TIMELINE_FORMAT", Value: value, Allowed: formatNames()}
}

func checkSince(value time.Duration) error {
	if value > 0 {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagSince, Value: value.String(), Allowed: "a duration above 0"}
}

func checkEvents(values []string) error {
	if _, err := timeline.ParseEvents(values); err != nil {
		return &setting.InvalidError{
			Flag: "--" + flagEvent, Value: strings.Join(values, ","), Allowed: "numbers or names of docs/EVENTS.md",
		}
	}
	return nil
}

// showTimeline collects the events of all hosts and writes them in the selected format.
func showTimeline(ctx context.Context, cmd *cli.Command) error {
	addresses := cmd.StringSlice(flagHost)
	if len(addresses) == 0 {
		return &setting.InvalidError{Flag: "--" + flagHost, Env: "BILBERRY_HOST", Allowed: "at least one admin address"}
	}
	format := timeline.Format(cmd.String(flagFormat))
	follow := cmd.Bool(flagFollow)
	if follow && !format.Streamable() {
		return &UsageError{Command: cmd.Name, Want: "--follow with --format text or json"}
	}
	filter, err := timelineFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	out, closeOutput, err := timelineOutput(cmd)
	if err != nil {
		return err
	}
	find := func(ctx context.Context) []*timeline.Source { return findSources(ctx, addresses) }
	if follow {
		err = timeline.Follow(ctx, find, clock.System{}, func(entries []timeline.Entry) error {
			return timeline.Write(out, format, filter.Apply(entries))
		})
	} else {
		err = withTimeout(func(ctx context.Context, _ *cli.Command) error {
			entries := timeline.Collect(ctx, find(ctx), clock.System{})
			return timeline.Write(out, format, filter.Apply(entries))
		})(ctx, cmd)
	}
	if closeErr := closeOutput(); err == nil {
		err = closeErr
	}
	return err
}

func timelineFilter(cmd *cli.Command, now time.Time) (*timeline.Filter, error) {
	ids, err := timeline.ParseEvents(cmd.StringSlice(flagEvent))
	if err != nil {
		return nil, err
	}
	f := &timeline.Filter{
		Request: cmd.String(flagRequest),
		Service: cmd.String(flagService),
		Target:  cmd.String(flagTarget),
		Events:  ids,
	}
	if since := cmd.Duration(flagSince); since > 0 {
		f.Since = now.Add(-since)
	}
	return f, nil
}

// timelineOutput returns the writer of the output and a function that closes it.
func timelineOutput(cmd *cli.Command) (io.Writer, func() error, error) {
	name := cmd.String(flagFile)
	if name == "" {
		return cmd.Root().Writer, func() error { return nil }, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	return file, file.Close, nil
}

// findSources returns a source for each given host and for each member that a host knows, except dead ones. It
// includes unreachable hosts, so that the timeline shows that their events are missing.
func findSources(ctx context.Context, addresses []string) []*timeline.Source {
	results := map[string]*hostResult{}
	ids := map[string]string{} // by admin address
	for round := addresses; len(round) > 0; {
		statuses := queryAll(ctx, round, results, time.Now())
		round = nil
		for _, s := range statuses {
			for _, m := range s.Members {
				if _, known := ids[m.AdminAddress]; known || m.AdminAddress == "" || m.State == memberDead {
					continue
				}
				ids[m.AdminAddress] = m.ID
				if results[m.AdminAddress] == nil {
					round = append(round, m.AdminAddress)
				}
			}
		}
	}
	return newSources(results, ids)
}

// newSources returns one source per host, even if a host was reached at more than one address.
func newSources(results map[string]*hostResult, ids map[string]string) []*timeline.Source {
	var sources []*timeline.Source
	seen := map[string]bool{}
	for address, h := range results {
		name := h.Host
		if name == "" {
			name = ids[address]
		}
		if name != "" && seen[name] {
			continue
		}
		seen[name] = true
		sources = append(sources, &timeline.Source{Address: address, Host: name, Client: http.DefaultClient})
	}
	return sources
}

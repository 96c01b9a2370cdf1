package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/setting"
)

const (
	// toolCommand is the command that repeats the measurements with processes.
	toolCommand = "make capacity"
	pageName    = "CAPACITY.md"
	plotDir     = "capacity"
)

// Command returns the command line of bilberry-capacity. It writes progress to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "bilberry-capacity",
		Usage:   "measures how costs grow and rewrites the tables and plots of the capacity page",
		Version: setting.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the built commands", Value: "bin", Sources: cli.EnvVars("BILBERRY_BIN")},
			&cli.StringFlag{Name: "docs", Usage: "directory of " + pageName, Value: "docs", Sources: cli.EnvVars("BILBERRY_DOCS")},
			&cli.BoolFlag{Name: "quick", Usage: "shorter measurements", Sources: cli.EnvVars("BILBERRY_CAPACITY_QUICK")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			bin := harness.Binaries(cmd.String("bin"))
			figures := measure(ctx, bin, cmd.Bool("quick"), out)
			if err := ctx.Err(); err != nil {
				return err
			}
			return publish(figures, cmd.String("docs"))
		},
	}
}

func measure(ctx context.Context, bin harness.Binaries, quick bool, out io.Writer) *Figures {
	f := &Figures{StartedAt: time.Now().UTC(), Processors: runtime.NumCPU(), InitialLoadAverage: loadAverage(), Quick: quick}
	p := &processes{bin: bin, quick: quick}
	p.measureAll(ctx, f)
	printProgress(out, f)
	measureSuites(ctx, runGoTest, f)
	printProgress(out, f)
	return f
}

func printProgress(out io.Writer, f *Figures) {
	fmt.Fprintf(out, "%d slopes measured, %d failed\n", len(f.Series), len(f.Failures))
}

// publish writes the page and the plots. The page and the returned error list the failed measurements.
func publish(f *Figures, docs string) error {
	page := filepath.Join(docs, pageName)
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	replaced, err := ReplaceGenerated(string(text), Render(f))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(docs, plotDir), 0o755); err != nil {
		return err
	}
	for i := range f.Series {
		if !f.Series[i].hasPlot() {
			continue
		}
		if err := f.Series[i].Plot(filepath.Join(docs, plotDir, f.Series[i].ID+".svg")); err != nil {
			return err
		}
	}
	if err := os.WriteFile(page, []byte(replaced), 0o644); err != nil {
		return err
	}
	return errors.Join(f.Failures...)
}

// loadAverage returns the one-minute load average, or 0 if it can't be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	_, _ = fmt.Sscan(strings.Fields(string(text))[0], &load)
	return load
}

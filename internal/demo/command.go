package demo

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/examples"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/setting"
)

// Command returns the command line of bilberry-demo.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "bilberry-demo",
		Usage:   "starts a small deployment on loopback and sends sample requests",
		Version: setting.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the built commands", Value: "bin", Sources: cli.EnvVars("BILBERRY_BIN")},
			&cli.StringFlag{Name: "example", Usage: "configuration: potcoava or pinselwerk", Value: "potcoava", Sources: cli.EnvVars("BILBERRY_EXAMPLE"), Validator: checkExample},
			&cli.BoolFlag{Name: "from-store", Value: true, Usage: "put the configuration into the key-value service with bilberryctl; else the entry hosts read files", Sources: cli.EnvVars("BILBERRY_FROM_STORE")},
			&cli.BoolFlag{Name: "once", Usage: "end after the sample requests, with status 0 if all answers were right"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return Run(ctx, Config{
				Bin:       harness.Binaries(cmd.String("bin")),
				Example:   cmd.String("example"),
				FromStore: cmd.Bool("from-store"),
				Once:      cmd.Bool("once"),
				Out:       out,
			})
		},
	}
}

func checkExample(name string) error {
	if _, err := examples.Files.ReadFile(name + "/base.yaml"); err != nil {
		return &setting.InvalidError{Flag: "--example", Env: "BILBERRY_EXAMPLE", Value: name, Allowed: "potcoava or pinselwerk"}
	}
	return nil
}

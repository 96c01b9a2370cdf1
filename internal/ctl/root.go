package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/setting"
	"github.com/bilberryline/bilberryline/internal/store"
)

// rootName is the name of the root command.
const rootName = "bilberryctl"

// Command returns the root command of bilberryctl.
func Command(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  rootName,
		Usage:                 "check, accept and follow configurations of entry hosts",
		Version:               setting.Version,
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                out,
		ErrWriter:             errOut,
		Flags:                 globalFlags(),
		Commands:              commands(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          usageError,
	}
}

func commands() []*cli.Command {
	all := []*cli.Command{
		validateCommand(),
		renderCommand(),
		planCommand(),
		applyCommand(),
		historyCommand(),
		rollbackCommand(),
		statusCommand(),
		moveCallerCommand(),
		timelineCommand(),
		explainCommand(),
	}
	for _, c := range all {
		c.OnUsageError = usageError
	}
	return all
}

// usageError wraps an error of the command line in a UsageError. It returns an InvalidError unwrapped.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	var invalid *setting.InvalidError
	if errors.As(err, &invalid) {
		return invalid
	}
	return &UsageError{Command: cmd.Name, Want: cmd.ArgsUsage, Err: err}
}

// Run runs bilberryctl and returns its exit code. SIGINT and SIGTERM cancel the command.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := Command(out, errOut).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, rootName+":", err)
	}
	return ExitCode(err)
}

// withTimeout returns action with a context that expires after --timeout.
func withTimeout(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return action(ctx, cmd)
	}
}

func newAcceptor(cmd *cli.Command) *revision.Acceptor {
	kv := store.NewConsul(store.Config{Address: cmd.String(flagStore)})
	return revision.NewAcceptor(kv, clock.System{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

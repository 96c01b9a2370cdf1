package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "accept the content of an earlier revision as a new one",
		ArgsUsage: "REVISION",
		Flags:     applyFlags(),
		Action:    withTimeout(rollback),
	}
}

func rollback(ctx context.Context, cmd *cli.Command) error {
	n, err := revisionArgument(cmd)
	if err != nil {
		return err
	}
	a := newAcceptor(cmd)
	head, err := a.Head(ctx)
	if err != nil {
		return err
	}
	record, err := head.Find(n)
	if err != nil {
		return err
	}
	tree, err := a.Read(ctx, record)
	if err != nil {
		return err
	}
	after, err := tree.CompileAll()
	if err != nil {
		return err
	}
	message := cmd.String(flagMessage)
	if message == "" {
		message = fmt.Sprintf("content of revision %d", n)
	}
	return propose(ctx, cmd, a, tree, after, message)
}

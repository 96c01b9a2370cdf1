package ctl

import (
	"context"

	"github.com/urfave/cli/v3"
)

func renderCommand() *cli.Command {
	return &cli.Command{
		Name:      "render",
		Usage:     "print the merged declaration of one site, as YAML or JSON",
		ArgsUsage: "FOLDER SITE",
		Action:    withTimeout(render),
	}
}

func render(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return &UsageError{Command: cmd.Name, Want: cmd.ArgsUsage}
	}
	tree, _, err := loadTree(cmd.Args().Get(0))
	if err != nil {
		return err
	}
	text, err := tree.Render(cmd.Args().Get(1), cmd.String(flagOutput) == outputJSON)
	if err != nil {
		return err
	}
	_, err = cmd.Root().Writer.Write(text)
	return err
}

package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/plan"
)

const baseFile = "base.yaml"

// moveResult is the output of move-caller.
type moveResult struct {
	// Written reports whether the file was changed. It is false with --dry-run.
	Written bool   `json:"written"`
	File    string `json:"file"`
	*plan.Plan
}

func moveCallerCommand() *cli.Command {
	return &cli.Command{
		Name:      "move-caller",
		Usage:     "move a caller to another department in base.yaml and show the effect",
		ArgsUsage: "FOLDER CALLER DEPARTMENT",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: flagDryRun, Usage: "show the effect only"}},
		Action:    withTimeout(moveCaller),
	}
}

func moveCaller(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 3 {
		return &UsageError{Command: cmd.Name, Want: cmd.ArgsUsage}
	}
	folder := cmd.Args().Get(0)
	tree, before, err := loadTree(folder)
	if err != nil {
		return err
	}
	base, err := config.MoveCaller(tree.Base, cmd.Args().Get(1), cmd.Args().Get(2))
	if err != nil {
		return err
	}
	tree.Base = base
	after, err := tree.CompileAll()
	if err != nil {
		return err
	}
	result := moveResult{File: filepath.Join(folder, baseFile), Plan: plan.Diff(before, after), Written: !cmd.Bool(flagDryRun)}
	if result.Written {
		if err := replaceFile(result.File, base); err != nil {
			return err
		}
	}
	return printResult(cmd, result, func(w io.Writer) {
		writePlan(w, result.Plan)
		if result.Written {
			fmt.Fprintf(w, "Changed %s; bring it into force with bilberryctl apply.\n", result.File)
		}
	})
}

// replaceFile replaces the content of the file atomically and keeps its mode.
func replaceFile(path string, data []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, info.Mode().Perm()); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

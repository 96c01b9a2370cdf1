package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os/user"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/plan"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/setting"
)

// applyResult is the output of apply and rollback.
type applyResult struct {
	// Changed is false if the proposal equals the accepted revision.
	Changed bool             `json:"changed"`
	Record  *revision.Record `json:"record"`
	Plan    *planResult      `json:"plan"`
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "accept a folder as the new revision",
		ArgsUsage: "FOLDER",
		Flags:     applyFlags(),
		Action:    withTimeout(apply),
	}
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagParent, Usage: "revision that the plan was made on; the newest when absent"},
		&cli.StringFlag{Name: flagMessage, Aliases: []string{"m"}, Usage: "reason, for the history"},
		&cli.StringFlag{Name: flagAuthor, Usage: "author, for the history; the user's name when absent", Sources: cli.EnvVars("BILBERRY_AUTHOR")},
		&cli.StringFlag{Name: flagChange, Usage: "id of the change; repeat it to find out an unknown outcome; random when absent"},
		&cli.Uint64Flag{Name: flagAbove, Usage: "make the revision's number exceed this one, after the store was set back"},
		&cli.BoolFlag{Name: flagAllowCutOff, Usage: "allow a caller to lose access"},
		&cli.BoolFlag{Name: flagAllowEmpty, Usage: "allow a service to be left with no backend server"},
		&cli.BoolFlag{Name: flagAllowOpen, Usage: "allow that all clients are accepted because no callers are declared any more"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until all entry hosts have the revision in force; needs --host"},
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	folder, err := singleArgument(cmd)
	if err != nil {
		return err
	}
	tree, after, err := loadTree(folder)
	if err != nil {
		return err
	}
	return propose(ctx, cmd, newAcceptor(cmd), tree, after, cmd.String(flagMessage))
}

// propose plans and applies a change to tree, whose snapshots are in after. It returns a HarmError if the change does
// harm that no flag allows. With --wait, it waits until all hosts have the new revision in force.
func propose(ctx context.Context, cmd *cli.Command, a *revision.Acceptor, tree *config.Tree, after map[string]*config.Snapshot, message string) error {
	if cmd.Bool(flagWait) && len(cmd.StringSlice(flagHost)) == 0 {
		return &setting.InvalidError{Flag: "--" + flagWait, Value: "true", Allowed: "only with --host"}
	}
	head, err := a.Head(ctx)
	if err != nil {
		return err
	}
	p := newProposal(cmd, head, tree, message)
	printProgress(cmd, "change %s on revision %d", p.ChangeID, p.Parent)
	result := &applyResult{Changed: true}
	if head.Revision() == p.Parent {
		result.Plan, err = planOn(ctx, a, head, after)
		if err != nil {
			return err
		}
		if err := refuseHarm(cmd, result.Plan.Plan); err != nil {
			return err
		}
	}
	result.Record, err = a.Apply(ctx, p)
	if errors.Is(err, revision.ErrNoChange) {
		result.Changed, result.Record = false, head.Newest()
		err = nil
	}
	if err != nil {
		return err
	}
	if err := printApplied(cmd, result); err != nil {
		return err
	}
	if !cmd.Bool(flagWait) {
		return nil
	}
	return awaitHosts(ctx, cmd, result.Record.Revision)
}

// newProposal returns a proposal with the values of the flags of apply and their defaults.
func newProposal(cmd *cli.Command, head *revision.Head, tree *config.Tree, message string) *revision.Proposal {
	p := &revision.Proposal{
		Tree:          tree,
		Parent:        head.Revision(),
		ChangeID:      cmd.String(flagChange),
		Author:        cmd.String(flagAuthor),
		Message:       message,
		RevisionFloor: cmd.Uint64(flagAbove),
	}
	if cmd.IsSet(flagParent) {
		p.Parent = cmd.Uint64(flagParent)
	}
	if p.ChangeID == "" {
		p.ChangeID = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	}
	if p.Author == "" {
		p.Author = userName()
	}
	return p
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// refuseHarm returns a HarmError if the plan does harm that no flag allows.
func refuseHarm(cmd *cli.Command, p *plan.Plan) error {
	harm := &HarmError{}
	if !cmd.Bool(flagAllowCutOff) {
		harm.CutOff = p.HarmfulChanges(plan.HarmCutOff)
	}
	if !cmd.Bool(flagAllowEmpty) {
		harm.Empty = p.HarmfulChanges(plan.HarmEmpty)
	}
	if !cmd.Bool(flagAllowOpen) {
		harm.Open = p.HarmfulChanges(plan.HarmOpen)
	}
	if len(harm.CutOff)+len(harm.Empty)+len(harm.Open) == 0 {
		return nil
	}
	return harm
}

func printApplied(cmd *cli.Command, result *applyResult) error {
	return printResult(cmd, result, func(w io.Writer) {
		if !result.Changed {
			fmt.Fprintf(w, "Nothing changes; revision %d stays in force.\n", result.Record.Revision)
			return
		}
		if result.Plan != nil {
			writePlan(w, result.Plan.Plan)
		}
		fmt.Fprintf(w, "Accepted as revision %d (%s).\n", result.Record.Revision, shortHash(result.Record.Hash))
	})
}

package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/plan"
	"github.com/bilberryline/bilberryline/internal/revision"
)

// planResult is the output of plan.
type planResult struct {
	// Parent is the revision that the plan is based on.
	Parent uint64 `json:"parent"`
	*plan.Plan
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "say what a folder changes at each site against the accepted revision",
		ArgsUsage: "FOLDER",
		Action:    withTimeout(showPlan),
	}
}

func showPlan(ctx context.Context, cmd *cli.Command) error {
	folder, err := singleArgument(cmd)
	if err != nil {
		return err
	}
	_, after, err := loadTree(folder)
	if err != nil {
		return err
	}
	a := newAcceptor(cmd)
	head, err := a.Head(ctx)
	if err != nil {
		return err
	}
	p, err := planOn(ctx, a, head, after)
	if err != nil {
		return err
	}
	return printPlan(cmd, p)
}

// planOn compares the newest accepted revision with the new snapshots.
func planOn(ctx context.Context, a *revision.Acceptor, head *revision.Head, after map[string]*config.Snapshot) (*planResult, error) {
	p := &planResult{Parent: head.Revision()}
	var before map[string]*config.Snapshot
	if newest := head.Newest(); newest != nil {
		tree, err := a.Read(ctx, newest)
		if err != nil {
			return nil, err
		}
		before, err = tree.CompileAll()
		if err != nil {
			p.Plan = worstCasePlan(sortedSites(after))
			return p, nil
		}
	}
	p.Plan = plan.Diff(before, after)
	return p, nil
}

// worstCasePlan returns the plan for a change of a revision that fails the validation of this version. Since the
// effects are unknown, it reports every kind of harm.
func worstCasePlan(sites []string) *plan.Plan {
	const text = "the accepted revision fails the check of this version, so harm can't be ruled out"
	return &plan.Plan{Sites: []plan.SiteGroup{{Sites: sites, Changes: []plan.Change{
		{Kind: plan.AcceptedUnreadable, Text: text, Harm: plan.HarmCutOff},
		{Kind: plan.AcceptedUnreadable, Text: text, Harm: plan.HarmEmpty},
	}}}}
}

func printPlan(cmd *cli.Command, p *planResult) error {
	return printResult(cmd, p, func(w io.Writer) {
		fmt.Fprintf(w, "Plan on revision %d.\n", p.Parent)
		writePlan(w, p.Plan)
	})
}

func writePlan(w io.Writer, p *plan.Plan) {
	if len(p.Sites) == 0 {
		fmt.Fprintln(w, "Nothing changes.")
	}
	for _, s := range p.Sites {
		labels := make([]string, len(s.Sites))
		for i, site := range s.Sites {
			labels[i] = siteLabel(site)
		}
		fmt.Fprintf(w, "%s:\n", strings.Join(labels, ", "))
		for _, c := range s.Changes {
			marker := " "
			if c.Harm != "" {
				marker = "!"
			}
			fmt.Fprintf(w, " %s %s\n", marker, c.Text)
		}
	}
}

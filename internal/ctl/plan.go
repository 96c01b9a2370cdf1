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

// planned is the output of plan.
type planned struct {
	// Parent is the revision that the plan was made on.
	Parent uint64 `json:"parent"`
	*plan.Plan
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "say what a folder changes at each site against the accepted revision",
		ArgsUsage: "FOLDER",
		Action:    bounded(showPlan),
	}
}

func showPlan(ctx context.Context, cmd *cli.Command) error {
	folder, err := argument(cmd)
	if err != nil {
		return err
	}
	_, after, err := loadTree(folder)
	if err != nil {
		return err
	}
	a := acceptor(cmd)
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

// planOn compares the newest accepted revision with new snapshots.
func planOn(ctx context.Context, a *revision.Acceptor, head *revision.Head, after map[string]*config.Snapshot) (*planned, error) {
	p := &planned{Parent: head.Revision()}
	var before map[string]*config.Snapshot
	if newest := head.Newest(); newest != nil {
		tree, err := a.Read(ctx, newest)
		if err != nil {
			return nil, err
		}
		before, err = tree.CompileAll()
		if err != nil {
			p.Plan = blindPlan(sortedSites(after))
			return p, nil
		}
	}
	p.Plan = plan.Diff(before, after)
	return p, nil
}

// blindPlan stands for changes against a revision that fails this version's check. It rules out no
// harm.
func blindPlan(sites []string) *plan.Plan {
	const text = "the accepted revision fails the check of this version, so harm can't be ruled out"
	return &plan.Plan{Sites: []plan.SiteGroup{{Sites: sites, Changes: []plan.Change{
		{Kind: plan.AcceptedUnreadable, Text: text, Harm: plan.HarmCutOff},
		{Kind: plan.AcceptedUnreadable, Text: text, Harm: plan.HarmEmpty},
	}}}}
}

func printPlan(cmd *cli.Command, p *planned) error {
	return emit(cmd, p, func(w io.Writer) {
		fmt.Fprintf(w, "Plan on revision %d.\n", p.Parent)
		writePlan(w, p.Plan)
	})
}

func writePlan(w io.Writer, p *plan.Plan) {
	if len(p.Sites) == 0 {
		fmt.Fprintln(w, "Nothing changes.")
	}
	for _, s := range p.Sites {
		shown := make([]string, len(s.Sites))
		for i, site := range s.Sites {
			shown[i] = shownSite(site)
		}
		fmt.Fprintf(w, "%s:\n", strings.Join(shown, ", "))
		for _, c := range s.Changes {
			mark := " "
			if c.Harm != "" {
				mark = "!"
			}
			fmt.Fprintf(w, " %s %s\n", mark, c.Text)
		}
	}
}

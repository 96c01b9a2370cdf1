package ctl

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

// pollInterval is the pause between two queries of all hosts.
const pollInterval = 250 * time.Millisecond

// awaitHosts waits until all hosts have the revision in force and prints its progress to standard error. If ctx
// ends first, it returns a LagError.
func awaitHosts(ctx context.Context, cmd *cli.Command, revision uint64) error {
	shown := -1
	for {
		hosts := queryHosts(ctx, cmd.StringSlice(flagHost), time.Now())
		behind := markLagging(hosts, revision)
		if at := len(hosts) - len(behind); at != shown {
			shown = at
			printProgress(cmd, "%d of %d hosts at revision %d", at, len(hosts), revision)
		}
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &LagError{Revision: revision, Hosts: behind}
		case <-time.After(pollInterval):
		}
	}
}

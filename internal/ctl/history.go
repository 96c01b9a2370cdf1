package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/revision"
)

// shownHash is the number of hexadecimal digits of a hash in tables.
const shownHash = 12

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the accepted revisions that the store keeps, newest first",
		Action: bounded(history),
	}
}

func history(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &UsageError{Command: cmd.Name}
	}
	head, err := acceptor(cmd).Head(ctx)
	if err != nil {
		return err
	}
	records := head.Records
	if records == nil {
		records = []revision.Record{}
	}
	return emit(cmd, records, func(w io.Writer) {
		row(w, "REVISION", "TIME", "AUTHOR", "HASH", "CHANGE", "MESSAGE")
		for _, r := range records {
			row(w, r.Revision, r.Time.UTC().Format(time.RFC3339), r.Author, shortHash(r.Hash), r.ChangeID, r.Message)
		}
	})
}

func shortHash(hash string) string { return hash[:min(shownHash, len(hash))] }

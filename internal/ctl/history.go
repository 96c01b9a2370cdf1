package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/revision"
)

// shortHashLength is the number of hexadecimal digits of a hash that tables show.
const shortHashLength = 12

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the accepted revisions that the store keeps, newest first",
		Action: withTimeout(history),
	}
}

func history(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &UsageError{Command: cmd.Name}
	}
	head, err := newAcceptor(cmd).Head(ctx)
	if err != nil {
		return err
	}
	records := head.Records
	if records == nil {
		records = []revision.Record{}
	}
	return printResult(cmd, records, func(w io.Writer) {
		writeRow(w, "REVISION", "TIME", "AUTHOR", "HASH", "CHANGE", "MESSAGE")
		for _, r := range records {
			writeRow(w, r.Revision, r.Time.UTC().Format(time.RFC3339), r.Author, shortHash(r.Hash), r.ChangeID, r.Message)
		}
	})
}

func shortHash(hash string) string { return hash[:min(shortHashLength, len(hash))] }

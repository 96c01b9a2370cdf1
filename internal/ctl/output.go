package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// tabPadding is the number of spaces between columns.
const tabPadding = 2

// printResult writes value as JSON, or calls table to write it as a table, depending on --output.
func printResult(cmd *cli.Command, value any, table func(io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	table(w)
	return w.Flush()
}

// writeRow writes the cells of one row of a table.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// printProgress writes a progress line to standard error.
func printProgress(cmd *cli.Command, format string, args ...any) {
	fmt.Fprintf(cmd.Root().ErrWriter, format+"\n", args...)
}

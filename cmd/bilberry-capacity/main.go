// Command bilberry-capacity measures how costs grow with the size of a deployment and rewrites the tables
// of docs/CAPACITY.md.
package main

import (
	"context"
	"os"

	"github.com/bilberryline/bilberryline/internal/capacity"
)

func main() {
	if err := capacity.Command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// Command bilberry-load generates open-loop HTTP load and reports latencies and verdicts.
package main

import (
	"context"
	"os"

	"github.com/bilberryline/bilberryline/internal/load"
)

func main() {
	if err := load.Command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

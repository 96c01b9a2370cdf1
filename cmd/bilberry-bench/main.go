// Command bilberry-bench measures the balancer on loopback with real processes.
package main

import (
	"context"
	"os"

	"github.com/bilberryline/bilberryline/internal/bench"
)

func main() {
	if err := bench.Command(os.Stdout, os.Stderr).Run(context.Background(), os.Args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// Command bilberry-demo starts a small deployment on loopback and sends sample requests through it.
package main

import (
	"context"
	"os"

	"github.com/bilberryline/bilberryline/internal/demo"
)

func main() {
	if err := demo.Command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

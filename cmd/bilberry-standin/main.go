// Command bilberry-standin runs stand-ins for the platform's services and for backend servers.
package main

import (
	"context"
	"os"

	"github.com/bilberryline/bilberryline/internal/standin"
)

func main() {
	if err := standin.Command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

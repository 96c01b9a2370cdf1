// Command bilberry-gateway runs an entry host on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bilberryline/bilberryline/platform"
)

func main() {
	if err := platform.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bilberry-gateway:", err)
		os.Exit(1)
	}
}

// Command bilberry-entry runs an entry host.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bilberryline/bilberryline/internal/entry"
)

func main() {
	if err := entry.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bilberry-entry:", err)
		os.Exit(1)
	}
}

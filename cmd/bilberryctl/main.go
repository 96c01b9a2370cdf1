// Command bilberryctl validates, applies and inspects the configuration of entry hosts.
package main

import (
	"os"

	"github.com/bilberryline/bilberryline/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args, os.Stdout, os.Stderr))
}

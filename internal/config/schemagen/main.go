// Command schemagen writes the JSON Schema of the configuration to the file named by its argument.
package main

import (
	"fmt"
	"os"

	"github.com/bilberryline/bilberryline/internal/config"
)

const (
	module     = "github.com/bilberryline/bilberryline/internal/config"
	sources    = "."
	schemaMode = 0o644
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	data, err := config.Schema(module, sources)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, schemaMode)
}

// Command eventdoc writes the event catalogue as a Markdown page.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/bilberryline/bilberryline/internal/event"
)

const head = `# Events

Generated from the catalogue in internal/event by ` + "`make generate`" + `. Events of severity debug appear in
the timeline only; the others are also logged.

| number | name | severity | what happened | what to do |
| --- | --- | --- | --- | --- |
`

func main() {
	out := flag.String("out", "EVENTS.md", "file to write")
	flag.Parse()
	if err := os.WriteFile(*out, page(event.Kinds()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "eventdoc:", err)
		os.Exit(1)
	}
}

func page(kinds []event.Kind) []byte {
	var b bytes.Buffer
	b.WriteString(head)
	for _, k := range kinds {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.ID, k.Name, k.Severity, k.Text, k.Action)
	}
	return b.Bytes()
}

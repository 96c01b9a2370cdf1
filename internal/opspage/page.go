// Package opspage reads docs/OPERATIONS.md for the tests that hold it against the programs. The product
// never uses it.
package opspage

import (
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"

	"github.com/urfave/cli/v3"
)

// Path is the page's path from the root of the repository.
const Path = "docs/OPERATIONS.md"

var (
	metric = regexp.MustCompile(`\bbilberry_[a-z_]+`)
	flag   = regexp.MustCompile("`--([a-z-]+)`")
)

// MissingSectionError reports that the page has no part about a program.
type MissingSectionError struct{ Program string }

// Error implements error.
func (e *MissingSectionError) Error() string { return Path + " has no part about " + e.Program }

// Section returns the part of the page about one program: from its heading of the first level to the next.
func Section(program string) (string, error) {
	_, file, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(file), "..", "..", Path))
	if err != nil {
		return "", err
	}
	_, part, found := strings.Cut(string(text), "\n# "+program+"\n")
	if !found {
		return "", &MissingSectionError{Program: program}
	}
	part, _, _ = strings.Cut(part, "\n# ")
	return part, nil
}

// Metrics returns the names of the metrics that a text uses, those of histograms without their suffix.
func Metrics(text string) []string {
	names := metric.FindAllString(text, -1)
	for i := range names {
		names[i] = strings.TrimSuffix(names[i], "_bucket")
	}
	return names
}

// Flags returns the flags that a text names.
func Flags(text string) map[string]bool {
	names := make(map[string]bool)
	for _, m := range flag.FindAllStringSubmatch(text, -1) {
		names[m[1]] = true
	}
	return names
}

// CompareFlags returns what is wrong with the flags that a text names, held against those that exist.
func CompareFlags(text string, flags []cli.Flag) (wrong []string) {
	listed := Flags(text)
	for _, f := range flags {
		name := f.Names()[0]
		if !listed[name] {
			wrong = append(wrong, Path+" does not list --"+name)
		}
		delete(listed, name)
	}
	for name := range listed {
		wrong = append(wrong, Path+" names --"+name+", which does not exist")
	}
	return wrong
}

// Package opspage parses docs/OPERATIONS.md for the tests that compare the page with the programs. Only tests
// use it.
package opspage

import (
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"

	"github.com/urfave/cli/v3"
)

// Path is the path of the page, relative to the root of the repository.
const Path = "docs/OPERATIONS.md"

var (
	metricPattern = regexp.MustCompile(`\bbilberry_[a-z_]+`)
	flagPattern   = regexp.MustCompile("`--([a-z-]+)`")
)

// MissingSectionError reports that the page has no section on a program.
type MissingSectionError struct{ Program string }

// Error implements error.
func (e *MissingSectionError) Error() string { return Path + " has no section on " + e.Program }

// Section returns the section of the page on one program: the text from the program's first-level heading to
// the next one.
func Section(program string) (string, error) {
	_, file, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(file), "..", "..", Path))
	if err != nil {
		return "", err
	}
	_, section, found := strings.Cut(string(text), "\n# "+program+"\n")
	if !found {
		return "", &MissingSectionError{Program: program}
	}
	section, _, _ = strings.Cut(section, "\n# ")
	return section, nil
}

// Metrics returns the names of the metrics that a text mentions. It strips the suffix _bucket of histograms.
func Metrics(text string) []string {
	names := metricPattern.FindAllString(text, -1)
	for i := range names {
		names[i] = strings.TrimSuffix(names[i], "_bucket")
	}
	return names
}

// Flags returns the names of the flags that a text mentions, without dashes.
func Flags(text string) map[string]bool {
	names := make(map[string]bool)
	for _, m := range flagPattern.FindAllStringSubmatch(text, -1) {
		names[m[1]] = true
	}
	return names
}

// CompareFlags compares the flags that a text mentions with those of a program. It returns one message for each
// flag that only one of them has.
func CompareFlags(text string, flags []cli.Flag) (mismatches []string) {
	mentioned := Flags(text)
	for _, f := range flags {
		name := f.Names()[0]
		if !mentioned[name] {
			mismatches = append(mismatches, Path+" does not mention --"+name)
		}
		delete(mentioned, name)
	}
	for name := range mentioned {
		mismatches = append(mismatches, Path+" mentions --"+name+", which does not exist")
	}
	return mismatches
}

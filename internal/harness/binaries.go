// Package harness runs the project's binaries as processes on loopback addresses, for tests, benchmarks and
// the demo. No product binary uses it.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// Binaries is a directory with the built commands.
type Binaries string

// Path returns the path of the command.
func (b Binaries) Path(command string) string { return filepath.Join(string(b), command) }

// Has reports whether the directory contains the command.
func (b Binaries) Has(command string) bool {
	_, err := os.Stat(b.Path(command))
	return err == nil
}

// BuildError reports a failed build.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string { return "go build: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

const modulePath = "github.com/bilberryline/bilberryline"

var buildOnce = sync.OnceValues(func() (Binaries, error) {
	dir, err := os.MkdirTemp("", "bilberryline-bin-")
	if err != nil {
		return "", errors.WithStack(err)
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), modulePath+"/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		_ = os.RemoveAll(dir)
		return "", &BuildError{Output: string(out), Cause: err}
	}
	return Binaries(dir), nil
})

// Build builds all commands, once per process, and returns their directory. If the environment variable
// BILBERRY_TEST_BIN is set, it returns that directory without a build.
func Build() (Binaries, error) {
	if dir := os.Getenv("BILBERRY_TEST_BIN"); dir != "" {
		return Binaries(dir), nil
	}
	return buildOnce()
}

// RemoveBuild deletes the directory that Build created. TestMain calls it after the tests.
func RemoveBuild() {
	if dir, err := buildOnce(); err == nil {
		_ = os.RemoveAll(string(dir))
	}
}

package capacity

import (
	"context"
	"os/exec"
	"strings"
)

// goTestFunc runs go test with the arguments and returns its output.
type goTestFunc func(ctx context.Context, args ...string) (string, error)

func runGoTest(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test"}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", &GoTestError{Command: goTestCommand(args), Output: string(out), Cause: err}
	}
	return string(out), nil
}

// goTestCommand returns the command line, quoted for the shell.
func goTestCommand(args []string) string {
	quoted := make([]string, len(args))
	for i, a := range args {
		quoted[i] = a
		if strings.ContainsAny(a, "^$| ") {
			quoted[i] = "'" + a + "'"
		}
	}
	return "go test " + strings.Join(quoted, " ")
}

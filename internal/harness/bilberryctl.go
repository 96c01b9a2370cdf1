package harness

import (
	"context"
	"os/exec"
)

// CommandError reports that bilberryctl failed.
type CommandError struct {
	Args   []string
	Output string
	Cause  error
}

// Error implements error.
func (e *CommandError) Error() string { return "bilberryctl: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Cause }

// RunCtl runs bilberryctl against the cluster's key-value service and returns its combined output.
func (c *Cluster) RunCtl(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"--store", c.StoreURL()}, args...)
	cmd := exec.CommandContext(ctx, c.options.Bin.Path("bilberryctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), &CommandError{Args: args, Output: string(out), Cause: err}
	}
	return string(out), nil
}

// Apply applies the cluster's configuration directory as a new revision.
func (c *Cluster) Apply(ctx context.Context, message string) error {
	_, err := c.RunCtl(ctx, "apply", "--author", "harness", "--message", message, c.ConfigDir())
	return err
}

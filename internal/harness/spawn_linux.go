package harness

import (
	"os/exec"
	"syscall"
)

// killWithParent makes the kernel kill the child when the parent's thread ends, and keeps terminal
// signals of the parent's process group from the child.
func killWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}

package harness

import (
	"os/exec"
	"syscall"
)

// killWithParent makes the kernel kill the child when the thread that starts it ends. The child gets its own
// process group, so that terminal signals such as Ctrl-C reach only the parent.
func killWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}

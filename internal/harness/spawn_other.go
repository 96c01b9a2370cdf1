//go:build !linux

package harness

import "os/exec"

func endWithParent(*exec.Cmd) {}

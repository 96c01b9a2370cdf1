package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

// spawner starts processes from one operating system thread that lives as long as this process. Linux sends
// the parent death signal to a child when the thread that started the child ends.
type spawner struct {
	once     sync.Once
	requests chan spawnRequest
}

type spawnRequest struct {
	cmd  *exec.Cmd
	done chan<- error
}

var processSpawner = spawner{requests: make(chan spawnRequest)}

// start starts cmd so that it is killed when this process ends (on Linux only).
func (s *spawner) start(cmd *exec.Cmd) error {
	s.once.Do(func() { go s.loop() })
	killWithParent(cmd)
	done := make(chan error, 1)
	s.requests <- spawnRequest{cmd, done}
	return <-done
}

func (s *spawner) loop() {
	runtime.LockOSThread()
	for r := range s.requests {
		r.done <- r.cmd.Start()
	}
}

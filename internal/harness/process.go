package harness

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a started command whose output is written to a log file.
type Process struct {
	// Name identifies the process in error messages and is the base name of the log file.
	Name string
	// LogPath is the path of the log file.
	LogPath string

	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // valid after done is closed
}

// ExitError reports that a process exited unexpectedly or with a non-zero status.
type ExitError struct {
	Process string
	Log     string
	Cause   error
}

// Error implements error.
func (e *ExitError) Error() string {
	cause := "exit status 0"
	if e.Cause != nil {
		cause = e.Cause.Error()
	}
	return "process " + e.Process + " ended: " + cause + "\n" + e.Log
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// TimeoutError reports that a condition did not hold in time.
type TimeoutError struct {
	Condition string
	Timeout   time.Duration
	Log       string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return e.Condition + ": timed out after " + e.Timeout.String() + "\n" + e.Log
}

// StartProcess starts a command and appends its output to NAME.log in dir.
func StartProcess(dir, name, path string, args ...string) (*Process, error) {
	return StartProcessWithEnv(dir, name, nil, path, args...)
}

// StartProcessWithEnv is StartProcess with further environment variables, in the form NAME=value.
func StartProcessWithEnv(dir, name string, env []string, path string, args ...string) (*Process, error) {
	logPath := dir + "/" + name + ".log"
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = log
	cmd.Stderr = log
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, log: log, done: make(chan struct{})}
	if err := processSpawner.start(cmd); err != nil {
		log.Close()
		return nil, errors.WithMessage(err, "start "+name)
	}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.cmd.Wait()
	p.log.Close()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal, for example SIGTERM, SIGSTOP or SIGCONT.
func (p *Process) Signal(sig syscall.Signal) error {
	return errors.WithMessage(p.cmd.Process.Signal(sig), "signal "+p.Name)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. If that takes longer than limit, it kills the process
// and returns a *TimeoutError.
func (p *Process) Stop(limit time.Duration) error {
	if !p.Running() {
		return p.exitError()
	}
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitError()
	case <-time.After(limit):
		p.Kill()
		return &TimeoutError{Condition: "exit of " + p.Name, Timeout: limit, Log: p.LogTail()}
	}
}

// Wait waits until the process has exited and returns an *ExitError unless its exit status is 0.
func (p *Process) Wait() error {
	<-p.done
	return p.exitError()
}

func (p *Process) exitError() error {
	if p.err == nil {
		return nil
	}
	return &ExitError{Process: p.Name, Log: p.LogTail(), Cause: p.err}
}

// maxTailSize is the maximum size of the part of a log in error messages, in bytes.
const maxTailSize = 4 << 10

// LogTail returns the path and the last part of the log.
func (p *Process) LogTail() string {
	text, _ := os.ReadFile(p.LogPath)
	if len(text) > maxTailSize {
		text = text[len(text)-maxTailSize:]
	}
	return p.LogPath + ":\n" + string(text)
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// WaitReady polls url until it returns 200, the process exits or limit passes.
func (p *Process) WaitReady(ctx context.Context, url string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if status, err := getStatus(ctx, url); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-p.done:
			return &ExitError{Process: p.Name, Log: p.LogTail(), Cause: p.err}
		case <-ctx.Done():
			return &TimeoutError{Condition: p.Name + " ready at " + url, Timeout: limit, Log: p.LogTail()}
		case <-time.After(pollInterval):
		}
	}
}

func getStatus(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// StatusError reports a response with an unexpected status code.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return e.URL + ": status " + strconv.Itoa(e.Status) + ": " + e.Body
}

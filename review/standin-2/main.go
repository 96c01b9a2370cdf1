//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 112 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// trouble reports whether the case runs with its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// control leaves out what the case needs besides the disruption, to show the cause.
var control = os.Getenv("CONTROL") == "1"

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (broken bool, err error){
	"crash-evidence-restart": crashEvidenceRestart,
	"crash-evidence-tenant":  crashEvidenceTenant,
	"failure-after-run":      failureAfterRun,
	"revoke-all-tenants":     revokeAllTenants,
}

// caseError is the reason why a case couldn't run.
type caseError struct{ reason string }

// Error implements error.
func (e *caseError) Error() string { return e.reason }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, dir string) int {
	d, err := newDeployment(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNoRun
	}
	defer d.close()
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := cases[name](d)
		ended <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var broken bool
	select {
	case r := <-ended:
		broken, err = r.broken, r.err
	case s := <-signals:
		err = &caseError{"the script got " + s.String()}
	case <-time.After(timeLimit):
		err = &caseError{"the case took longer than " + timeLimit.String()}
	}
	switch {
	case err != nil:
		d.rec.print("the case couldn't run: %v", err)
		return exitNoRun
	case broken:
		d.rec.print("the rule was broken")
		return exitBroken
	}
	d.rec.print("the rule held")
	return exitHeld
}

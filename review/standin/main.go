//go:build review

// Command standin plays one case of the review: it starts gateways as separate processes with the command and the
// environment of deploy/system.toml, stands in for the platform, the backend servers and the callers, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){}

func main() {
	record := flag.String("record", "", "file for the record")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *record == "" {
		fmt.Fprintln(os.Stderr, "usage: standin -record FILE CASE")
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(*record, play))
}

func runCase(record string, play func(c *caseRun) (bool, error)) int {
	c, err := newCaseRun(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer c.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.note("the case was interrupted")
		c.killAll()
		os.Exit(exitCannotRun)
	}()
	broken, err := play(c)
	switch {
	case err != nil:
		c.note("the case couldn't run: %v", err)
		return exitCannotRun
	case broken:
		c.note("result: the rule was broken")
		return exitBroken
	}
	c.note("result: the rule held")
	return exitHeld
}

package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// fleetStatus is the output of status.
type fleetStatus struct {
	// Accepted is the newest accepted revision: the highest of those that the store and the hosts report.
	Accepted       uint64        `json:"accepted"`
	StoreReachable bool          `json:"store_reachable"`
	Hosts          []*hostResult `json:"hosts"`
}

// storeTimeoutDivisor sets the time limit of the store to a third of --timeout, so that time is left to query the
// hosts.
const storeTimeoutDivisor = 3

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the revision in force on each entry host; fails when one lags",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: flagWait, Usage: "wait until no host lags"}},
		Action: withTimeout(status),
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	addresses := cmd.StringSlice(flagHost)
	if len(addresses) == 0 {
		return &setting.InvalidError{Flag: "--" + flagHost, Env: "BILBERRY_HOST", Allowed: "at least one admin address"}
	}
	storeCtx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout)/storeTimeoutDivisor)
	defer cancel()
	result := fleetStatus{}
	head, err := newAcceptor(cmd).Head(storeCtx)
	if err == nil {
		result.Accepted, result.StoreReachable = head.Revision(), true
	}
	if cmd.Bool(flagWait) {
		_ = awaitHosts(ctx, cmd, result.Accepted)
	}
	result.Hosts = queryHosts(ctx, addresses, time.Now())
	for _, h := range result.Hosts {
		result.Accepted = max(result.Accepted, h.Revision)
	}
	behind := markLagging(result.Hosts, result.Accepted)
	if err := printResult(cmd, result, func(w io.Writer) { writeStatus(w, result) }); err != nil {
		return err
	}
	if len(behind) > 0 {
		return &LagError{Revision: result.Accepted, Hosts: behind}
	}
	return nil
}

func writeStatus(w io.Writer, result fleetStatus) {
	writeRow(w, "HOST", "SITE", "REGION", "VERSION", "REVISION", "IN FORCE FOR", "STATE")
	for _, h := range result.Hosts {
		name := h.Host
		if name == "" {
			name = h.Address
		}
		age := time.Duration(h.InForceSeconds * float64(time.Second)).Round(time.Second)
		writeRow(w, name, h.Site, h.Region, h.Version, h.Revision, age, h.State)
	}
	source := "the store's newest revision"
	if !result.StoreReachable {
		source = "the highest in force; the store does not answer"
	}
	writeRow(w)
	writeRow(w, "Accepted:", result.Accepted, "("+source+")")
}

package entry

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/setting"
)

const (
	defaultListen           = "127.0.0.1:8080"
	defaultListenPeer       = "127.0.0.1:8081"
	defaultListenAdmin      = "127.0.0.1:8082"
	defaultDrainDelay       = 5 * time.Second
	defaultShutdownLimit    = 60 * time.Second
	defaultMaxEntryHosts    = 24
	defaultKeyHolders       = 2
	defaultKeyColdHold      = 30 * time.Second
	defaultEventRing        = 16384
	defaultMaxBodyBytes     = 16 << 20
	defaultMaxBufferedBytes = 512 << 20
	defaultMaxConnections   = 20000
)

// invalidNumber returns the error for a setting that is outside of its range.
func invalidNumber(flag string, value, low, high int64) error {
	return setting.Invalid(flag, strconv.FormatInt(value, 10), fmt.Sprintf("a number from %d to %d", low, high))
}

// Command returns the bilberry-entry command.
func Command() *cli.Command {
	s := &Settings{}
	return &cli.Command{
		Name:                  "bilberry-entry",
		Usage:                 "pass requests of callers to backend servers",
		Version:               setting.Version,
		EnableShellCompletion: true,
		Flags:                 flags(s),
		Action:                func(ctx context.Context, _ *cli.Command) error { return run(ctx, s) },
	}
}

func flags(s *Settings) []cli.Flag {
	return append(hostFlags(s), limitFlags(s)...)
}

func hostFlags(s *Settings) []cli.Flag {
	return []cli.Flag{
		setting.StringFlag("id", "", "name of this host, unique among the entry hosts", &s.ID),
		setting.StringFlag("region", "", "region of this host", &s.Region),
		setting.StringFlag("site", "", "data centre of this host", &s.Site),
		setting.StringFlag("listen", defaultListen, "IP number and port for callers", &s.Listen),
		setting.StringFlag("listen-peer", defaultListenPeer, "IP number and port for other entry hosts", &s.ListenPeer),
		setting.StringFlag("listen-admin", defaultListenAdmin, "IP number and port for administration", &s.ListenAdmin),
		setting.StringFlag("config", "", "base file of the configuration, read when there is no store", &s.ConfigFile),
		setting.StringFlag("overlay", "", "overlay file of this site", &s.OverlayFile),
		setting.StringFlag("store-url", "", "base URL of the key-value service", &s.StoreURL),
		setting.StringFlag("hosts-url", "", "URL of the host list", &s.HostsURL),
		&cli.StringSliceFlag{Name: "peers", Usage: "other entry hosts as id=address", Sources: setting.EnvSource("peers"), Destination: &s.Peers},
		setting.StringFlag("policy", string(PolicyOwner), "choice of targets: owner, least-in-flight or random", (*string)(&s.Policy)),
		setting.StringFlag("log-format", "json", "log lines: json or console", &s.LogFormat),
	}
}

func limitFlags(s *Settings) []cli.Flag {
	return []cli.Flag{
		setting.DurationFlag("drain-delay", defaultDrainDelay, "time between failing readiness and closing the listener", &s.DrainDelay),
		setting.DurationFlag("shutdown-limit", defaultShutdownLimit, "longest time of a graceful stop", &s.ShutdownLimit),
		setting.IntFlag("max-entry-hosts", defaultMaxEntryHosts, "largest number of entry hosts that run at once", &s.MaxEntryHosts),
		setting.IntFlag("key-holders", defaultKeyHolders, "hosts that must record an idempotency key, 1 or 2", &s.KeyHolders),
		setting.DurationFlag("key-cold-hold", defaultKeyColdHold, "how long idempotency keys are refused after all hosts of the region started anew", &s.KeyColdHold),
		setting.IntFlag("event-ring", defaultEventRing, "number of events kept for the time line", &s.EventRing),
		setting.IntFlag("max-body-bytes", defaultMaxBodyBytes, "largest request or answer body, in bytes", &s.MaxBodyBytes),
		&cli.Int64Flag{Name: "max-buffered-bytes", Value: defaultMaxBufferedBytes, Usage: "request bodies held together, in bytes", Sources: setting.EnvSource("max-buffered-bytes"), Destination: &s.MaxBufferedBytes},
		setting.IntFlag("max-connections", defaultMaxConnections, "connections of callers", &s.MaxConnections),
	}
}

// run validates the settings, serves until SIGTERM or SIGINT arrives and then stops gracefully. A second
// signal aborts the graceful stop.
func run(ctx context.Context, s *Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	host, err := NewHost(s)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := host.Start(ctx); err != nil {
		return err
	}
	<-signals
	stopCtx, cancel := context.WithTimeout(ctx, s.ShutdownLimit)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return host.Stop(stopCtx)
}

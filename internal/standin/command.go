package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/setting"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// ReadyMessage is the JSON line that the process prints once it accepts connections.
type ReadyMessage struct {
	Ready    bool              `json:"ready"`
	Store    string            `json:"store"`
	Hosts    string            `json:"hosts"`
	Control  string            `json:"control"`
	Backends map[string]string `json:"backends"`
}

// Command returns the bilberry-standin command.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "bilberry-standin",
		Usage:   "stand-ins of the platform and of backend servers, for tests and measurements",
		Version: setting.Version,
		Flags: []cli.Flag{
			listenFlag("listen-store", "BILBERRY_LISTEN_STORE", "address of the key-value service"),
			listenFlag("listen-hosts", "BILBERRY_LISTEN_HOSTS", "address of the host list"),
			listenFlag("listen-control", "BILBERRY_LISTEN_CONTROL", "address of the control API"),
			&cli.DurationFlag{Name: "hosts-lag", Usage: "lag of the host list, as a duration", Sources: cli.EnvVars("BILBERRY_HOSTS_LAG")},
			&cli.FloatFlag{Name: "store-reads", Usage: "rate cap in reads/s, 0 for none", Value: kv.DefaultLimits.ReadsPerSecond, Sources: cli.EnvVars("BILBERRY_STORE_READS")},
			&cli.FloatFlag{Name: "store-writes", Usage: "rate cap in writes/s, 0 for none", Value: kv.DefaultLimits.WritesPerSecond, Sources: cli.EnvVars("BILBERRY_STORE_WRITES")},
			&cli.StringSliceFlag{Name: "backend", Usage: "a backend server: " + specFormat, Config: cli.StringConfig{TrimSpace: true}},
			&cli.StringFlag{Name: "backends-file", Usage: "YAML list of backend servers", Sources: cli.EnvVars("BILBERRY_BACKENDS_FILE")},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choices", Value: 1, Sources: cli.EnvVars("BILBERRY_SEED")},
		},
		DisableSliceFlagSeparator: true,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := parseFlags(cmd)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return Run(ctx, cfg, clock.System{}, func(s *Standin) { _ = json.NewEncoder(out).Encode(s.ReadyMessage()) })
		},
	}
}

func listenFlag(name, env, usage string) *cli.StringFlag {
	return &cli.StringFlag{
		Name:    name,
		Usage:   usage + ", IP:PORT, port 0 takes a free one",
		Value:   "127.0.0.1:0",
		Sources: cli.EnvVars(env),
		Validator: func(value string) error {
			host, _, err := net.SplitHostPort(value)
			if err != nil || net.ParseIP(host) == nil {
				return &setting.InvalidError{Flag: "--" + name, Env: env, Value: value, Allowed: "IP:PORT"}
			}
			return nil
		},
	}
}

func parseFlags(cmd *cli.Command) (Config, error) {
	cfg := Config{
		StoreAddress:   cmd.String("listen-store"),
		HostsAddress:   cmd.String("listen-hosts"),
		ControlAddress: cmd.String("listen-control"),
		HostsLag:       cmd.Duration("hosts-lag"),
		Limits:         kv.Limits{ReadsPerSecond: cmd.Float("store-reads"), WritesPerSecond: cmd.Float("store-writes")},
		Seed:           cmd.Uint64("seed"),
	}
	if path := cmd.String("backends-file"); path != "" {
		backends, err := ReadBackends(path)
		if err != nil {
			return cfg, err
		}
		cfg.Backends = backends
	}
	for _, spec := range cmd.StringSlice("backend") {
		b, err := ParseBackend(spec)
		if err != nil {
			return cfg, err
		}
		cfg.Backends = append(cfg.Backends, b)
	}
	return cfg, validateNames(cfg.Backends)
}

func validateNames(backends []backend.Config) error {
	seen := map[string]bool{}
	for _, b := range backends {
		if b.Name == "" || seen[b.Name] {
			return &SpecError{Spec: b.Name, Allowed: "a name that no other backend has"}
		}
		seen[b.Name] = true
	}
	return nil
}

// ReadyMessage returns the message with the addresses that the process listens on.
func (s *Standin) ReadyMessage() ReadyMessage {
	r := ReadyMessage{Ready: true, Store: s.StoreAddress, Hosts: s.HostsAddress, Control: s.ControlAddress, Backends: map[string]string{}}
	for _, name := range s.order {
		r.Backends[name] = s.Backend(name).Address()
	}
	return r
}

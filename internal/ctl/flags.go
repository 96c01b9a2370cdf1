package ctl

import (
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// Names of flags.
const (
	flagOutput      = "output"
	flagTimeout     = "timeout"
	flagStore       = "store"
	flagHost        = "host"
	flagWait        = "wait"
	flagParent      = "parent"
	flagMessage     = "message"
	flagAuthor      = "author"
	flagChange      = "change"
	flagAbove       = "above"
	flagAllowCutOff = "allow-cut-off"
	flagAllowEmpty  = "allow-empty"
	flagAllowOpen   = "allow-open"
	flagDryRun      = "dry-run"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = time.Hour
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Sources: cli.EnvVars("BILBERRY_OUTPUT"),
			Usage: "form of output: table or json", Validator: checkOutput,
		},
		&cli.DurationFlag{
			Name: flagTimeout, Value: defaultTimeout, Sources: cli.EnvVars("BILBERRY_TIMEOUT"),
			Usage: "longest time of the whole command, at most 1h", Validator: checkTimeout,
		},
		&cli.StringFlag{
			Name: flagStore, Value: "http://127.0.0.1:8500", Sources: cli.EnvVars("BILBERRY_STORE"),
			Usage: "base URL of the key-value service", Validator: checkStore,
		},
		&cli.StringSliceFlag{
			Name: flagHost, Sources: cli.EnvVars("BILBERRY_HOST"), Validator: checkHosts,
			Usage: "admin address of an entry host, IP number and port, repeated; the others are found from its members",
		},
	}
}

func checkOutput(value string) error {
	if value == outputTable || value == outputJSON {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagOutput, Env: "BILBERRY_OUTPUT", Value: value, Allowed: "table or json"}
}

func checkTimeout(value time.Duration) error {
	if value > 0 && value <= maxTimeout {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagTimeout, Env: "BILBERRY_TIMEOUT", Value: value.String(), Allowed: "above 0, at most 1h"}
}

func checkStore(value string) error {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagStore, Env: "BILBERRY_STORE", Value: value, Allowed: "a URL such as http://10.0.0.1:8500"}
}

func checkHosts(values []string) error {
	for _, value := range values {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return &setting.InvalidError{Flag: "--" + flagHost, Env: "BILBERRY_HOST", Value: value, Allowed: "an IP number and port"}
		}
	}
	return nil
}

// singleArgument returns the only argument of cmd, or a UsageError if there is not exactly one.
func singleArgument(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{Command: cmd.Name, Want: cmd.ArgsUsage}
	}
	return cmd.Args().First(), nil
}

// revisionArgument returns the only argument of cmd as a revision number, or a UsageError.
func revisionArgument(cmd *cli.Command) (uint64, error) {
	text, err := singleArgument(cmd)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, &UsageError{Command: cmd.Name, Want: cmd.ArgsUsage}
	}
	return n, nil
}

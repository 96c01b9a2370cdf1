package setting

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const envPrefix = "BILBERRY_"

// EnvName returns the environment variable that sets the same as a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// EnvSource returns the environment variable of a flag as a source of its value.
func EnvSource(flag string) cli.ValueSourceChain { return cli.EnvVars(EnvName(flag)) }

// Invalid reports a flag whose value is not allowed.
func Invalid(flag, value, allowed string) error {
	return &InvalidError{Flag: "--" + flag, Env: EnvName(flag), Value: value, Allowed: allowed}
}

// StringFlag returns a flag that holds text.
func StringFlag(name, value, usage string, dest *string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// DurationFlag returns a flag that holds a duration.
func DurationFlag(name string, value time.Duration, usage string, dest *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// IntFlag returns a flag that holds a whole number.
func IntFlag(name string, value int, usage string, dest *int) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// FloatFlag returns a flag that holds a number.
func FloatFlag(name string, value float64, usage string, dest *float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

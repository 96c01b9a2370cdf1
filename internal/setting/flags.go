package setting

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const envPrefix = "BILBERRY_"

// EnvName returns the name of the environment variable that sets the same value as a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// EnvSource returns a value source that reads the environment variable of a flag.
func EnvSource(flag string) cli.ValueSourceChain { return cli.EnvVars(EnvName(flag)) }

// Invalid returns an InvalidError for a flag whose value is not allowed.
func Invalid(flag, value, allowed string) error {
	return &InvalidError{Flag: "--" + flag, Env: EnvName(flag), Value: value, Allowed: allowed}
}

// StringFlag returns a string flag that can also be set by its environment variable.
func StringFlag(name, value, usage string, dest *string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// DurationFlag returns a duration flag that can also be set by its environment variable.
func DurationFlag(name string, value time.Duration, usage string, dest *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// IntFlag returns an integer flag that can also be set by its environment variable.
func IntFlag(name string, value int, usage string, dest *int) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

// FloatFlag returns a floating-point flag that can also be set by its environment variable.
func FloatFlag(name string, value float64, usage string, dest *float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: EnvSource(name), Destination: dest}
}

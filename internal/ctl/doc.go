// Package ctl implements bilberryctl, the command-line tool of operators. Each subcommand has a file of its own.
package ctl

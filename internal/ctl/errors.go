package ctl

import (
	"fmt"
	"strings"
)

// UsageError reports an invalid command line.
type UsageError struct {
	// Command is the name of the command.
	Command string
	// Want describes the expected arguments.
	Want string
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error.
func (e *UsageError) Error() string {
	text := "usage: " + rootName
	if e.Command != rootName {
		text += " " + e.Command
	}
	if e.Want != "" {
		text += " " + e.Want
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *UsageError) Unwrap() error { return e.Err }

// HarmError reports a change that was not applied because it would do harm that no flag allows.
type HarmError struct {
	// CutOff describes the changes that cut off a caller.
	CutOff []string
	// Empty describes the changes that leave a service without backend servers.
	Empty []string
	// Open describes the changes after which all clients are accepted.
	Open []string
}

// Error implements error.
func (e *HarmError) Error() string {
	var b strings.Builder
	b.WriteString("not applied:")
	for _, text := range e.CutOff {
		fmt.Fprintf(&b, "\n  %s (allow with --allow-cut-off)", text)
	}
	for _, text := range e.Empty {
		fmt.Fprintf(&b, "\n  %s (allow with --allow-empty)", text)
	}
	for _, text := range e.Open {
		fmt.Fprintf(&b, "\n  %s (allow with --allow-open)", text)
	}
	return b.String()
}

// LagError reports hosts that are behind a revision or can't be reached.
type LagError struct {
	// Revision is the expected revision.
	Revision uint64
	// Hosts are the IDs of the hosts, or their admin addresses where the ID is unknown.
	Hosts []string
}

// Error implements error.
func (e *LagError) Error() string {
	return fmt.Sprintf("not at revision %d: %s", e.Revision, strings.Join(e.Hosts, ", "))
}

// StatusError reports that the status of a host could not be read.
type StatusError struct {
	// Address is the admin address of the host.
	Address string
	// Status is the HTTP status code of an unexpected response.
	Status int
	// Err is the underlying error. It is nil if Status is set.
	Err error
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("status of %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("status of %s: unexpected HTTP status %d", e.Address, e.Status)
}

// Unwrap returns the underlying error.
func (e *StatusError) Unwrap() error { return e.Err }

// ExplainError reports that a host did not explain a decision.
type ExplainError struct {
	// Address is the metrics address of the host.
	Address string
	// Status is the HTTP status code of an unexpected response, and Detail its body.
	Status int
	Detail string
	// Err is the underlying error. It is nil if Status is set.
	Err error
}

// Error implements error.
func (e *ExplainError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("explanation of %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("explanation of %s: unexpected HTTP status %d: %s", e.Address, e.Status, e.Detail)
}

// Unwrap returns the underlying error.
func (e *ExplainError) Unwrap() error { return e.Err }

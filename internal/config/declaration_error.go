package config

import (
	"fmt"
	"strings"
)

// ErrorKind tells the kinds of fault in a declaration apart.
type ErrorKind string

// Kinds of fault in a declaration.
const (
	// Unreadable files can't be read.
	Unreadable ErrorKind = "unreadable"
	// Syntax is text that is no YAML.
	Syntax ErrorKind = "syntax"
	// UnknownField is a key that the schema doesn't have.
	UnknownField ErrorKind = "unknown-field"
	// DuplicateKey is a key that stands twice in one mapping.
	DuplicateKey ErrorKind = "duplicate-key"
	// WrongType is a value of another type than the schema's.
	WrongType ErrorKind = "wrong-type"
	// NullInBase is a null in the base file, where there is nothing to remove.
	NullInBase ErrorKind = "null-in-base"
	// BaseOnly is a field set in an overlay that only the base file may set.
	BaseOnly ErrorKind = "base-only"
	// SiteOnly is a field set in the base file that only an overlay may set.
	SiteOnly ErrorKind = "site-only"
	// Missing is a required field without value.
	Missing ErrorKind = "missing"
	// OutOfRange is a number or duration outside its range.
	OutOfRange ErrorKind = "out-of-range"
	// BadFormat is text that is not in the field's form.
	BadFormat ErrorKind = "bad-format"
	// UnknownName is a reference to something that is not declared.
	UnknownName ErrorKind = "unknown-name"
	// Clash is a value that two entries claim, of which only one may.
	Clash ErrorKind = "clash"
)

// DeclarationError is one fault in a declaration.
type DeclarationError struct {
	Kind ErrorKind `json:"kind"`
	// File is the file that holds the faulty value.
	File string `json:"file"`
	// Line counts from 1. Zero means that the fault has no line, as for a missing field.
	Line int `json:"line,omitempty"`
	// Path is the field's path, as in services.slots.targets.slots-1.address.
	Path string `json:"path,omitempty"`
	// Value is the faulty value as written.
	Value string `json:"value,omitempty"`
	// Want says what is allowed.
	Want string `json:"want,omitempty"`
}

// Error implements error.
func (p *DeclarationError) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	fmt.Fprintf(&b, ": %s", p.Kind)
	if p.Path != "" {
		fmt.Fprintf(&b, ": %s", p.Path)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, ": %q", p.Value)
	}
	if p.Want != "" {
		fmt.Fprintf(&b, ": want %s", p.Want)
	}
	return b.String()
}

// DeclarationErrors are all faults found in a declaration, ordered by file, line and path.
type DeclarationErrors []*DeclarationError

// Error implements error with one fault a line.
func (ps DeclarationErrors) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives errors.As access to each fault.
func (ps DeclarationErrors) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = p
	}
	return errs
}

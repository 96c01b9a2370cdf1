package config

import (
	"fmt"
	"strings"
)

// ErrorKind is the kind of an error in a declaration.
type ErrorKind string

// Kinds of errors in a declaration.
const (
	// Unreadable means that a file can't be read.
	Unreadable ErrorKind = "unreadable"
	// Syntax means that a file is not valid YAML.
	Syntax ErrorKind = "syntax"
	// UnknownField means that the schema has no such key.
	UnknownField ErrorKind = "unknown-field"
	// DuplicateKey means that a mapping contains a key twice.
	DuplicateKey ErrorKind = "duplicate-key"
	// WrongType means that a value's type differs from the schema's.
	WrongType ErrorKind = "wrong-type"
	// NullInBase means that the base file contains a null. Only an overlay can remove an entry by null.
	NullInBase ErrorKind = "null-in-base"
	// BaseOnly means that an overlay sets a field that only the base file may set.
	BaseOnly ErrorKind = "base-only"
	// SiteOnly means that the base file sets a field that only an overlay may set.
	SiteOnly ErrorKind = "site-only"
	// Missing means that a required field has no value.
	Missing ErrorKind = "missing"
	// OutOfRange means that a number or duration is outside its range.
	OutOfRange ErrorKind = "out-of-range"
	// BadFormat means that a text doesn't have the field's format.
	BadFormat ErrorKind = "bad-format"
	// UnknownName means that a referenced name is not declared.
	UnknownName ErrorKind = "unknown-name"
	// Clash means that a value that must be unique is used by two entries.
	Clash ErrorKind = "clash"
)

// DeclarationError is one error in a declaration.
type DeclarationError struct {
	Kind ErrorKind `json:"kind"`
	// File is the file that contains the invalid value.
	File string `json:"file"`
	// Line is the line number, from 1. It is 0 for an error without a line, such as a missing field.
	Line int `json:"line,omitempty"`
	// Path is the field's path, as in services.slots.targets.slots-1.address.
	Path string `json:"path,omitempty"`
	// Value is the invalid value as written.
	Value string `json:"value,omitempty"`
	// Want describes the allowed values.
	Want string `json:"want,omitempty"`
}

// Error implements error.
func (e *DeclarationError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	fmt.Fprintf(&b, ": %s", e.Kind)
	if e.Path != "" {
		fmt.Fprintf(&b, ": %s", e.Path)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, ": %q", e.Value)
	}
	if e.Want != "" {
		fmt.Fprintf(&b, ": want %s", e.Want)
	}
	return b.String()
}

// DeclarationErrors are all errors found in a declaration, ordered by file, line and path.
type DeclarationErrors []*DeclarationError

// Error implements error. It returns one line per error.
func (es DeclarationErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors for errors.Is and errors.As.
func (es DeclarationErrors) Unwrap() []error {
	errs := make([]error, len(es))
	for i, e := range es {
		errs[i] = e
	}
	return errs
}

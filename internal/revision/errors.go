package revision

import (
	"fmt"
	"strings"
)

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Errors of the package that carry no further data.
const (
	// ErrNoRevision reports that no revision has been accepted yet.
	ErrNoRevision ConstError = "no revision has been accepted yet"
	// ErrNotInHistory reports a revision that is older than the retained history.
	ErrNotInHistory ConstError = "the revision is older than the history that is kept"
	// ErrNoChange reports a proposal whose content equals the newest accepted revision.
	ErrNoChange ConstError = "the proposal equals the accepted revision"
	// ErrContentRejected reports a revision whose content is invalid.
	ErrContentRejected ConstError = "the revision's content was refused"
	// ErrUnavailable reports content that its source doesn't have.
	ErrUnavailable ConstError = "the revision's content is not available"
)

// ConflictError reports that other changes were accepted between the plan and its application.
type ConflictError struct {
	// Parent is the revision that the proposal is based on.
	Parent uint64
	// AcceptedSince are the revisions accepted after Parent, newest first, as far as the history goes.
	AcceptedSince []Record
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the plan was made on revision %d; accepted since:", e.Parent)
	for _, r := range e.AcceptedSince {
		fmt.Fprintf(&b, " revision %d by %s at %s (%s);", r.Revision, r.Author, r.Time.UTC().Format(timeFormat), r.Message)
	}
	return strings.TrimSuffix(b.String(), ";")
}

// OutcomeUnknownError reports that it could not be determined whether a change was accepted.
type OutcomeUnknownError struct {
	// ChangeID identifies the change. A later Apply with the same id returns the change's record if it
	// was accepted.
	ChangeID string
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// CorruptError reports stored or received content that is malformed or doesn't match its hash.
type CorruptError struct {
	// Part describes the corrupt part.
	Part string
	// Source is the store's key or the host that the content came from.
	Source string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s from %s does not match its hash or form", e.Part, e.Source)
}

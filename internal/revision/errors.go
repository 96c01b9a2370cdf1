package revision

import (
	"fmt"
	"strings"
)

// CodeError is an error without attributes.
type CodeError string

// Error implements error.
func (e CodeError) Error() string { return string(e) }

// Errors without attributes.
const (
	// ErrNoRevision reports that no revision has been accepted yet.
	ErrNoRevision CodeError = "no revision has been accepted yet"
	// ErrNotInHistory reports a revision older than the history that is kept.
	ErrNotInHistory CodeError = "the revision is older than the history that is kept"
	// ErrNoChange reports a proposal that equals what is accepted.
	ErrNoChange CodeError = "the proposal equals the accepted revision"
	// ErrContentRejected reports a revision whose content fails the check.
	ErrContentRejected CodeError = "the revision's content was refused"
	// ErrUnavailable reports content that no source could give.
	ErrUnavailable CodeError = "the revision's content is not available"
)

// ConflictError reports that others' changes were accepted between the plan and its application.
type ConflictError struct {
	// Parent is the revision that the proposal was made on.
	Parent uint64
	// AcceptedSince are the revisions accepted since, newest first, as far as the history goes.
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

// OutcomeUnknownError reports a change of which it could not be found out whether it was accepted.
type OutcomeUnknownError struct {
	// ChangeID is the id by which it can be found out later.
	ChangeID string
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// CorruptError reports stored or received content that does not match its hash or form.
type CorruptError struct {
	// Part names the faulty part.
	Part string
	// Source is the key or the host it came from.
	Source string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s from %s does not match its hash or form", e.Part, e.Source)
}

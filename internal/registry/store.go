package registry

import (
	"context"
	"time"
)

// Store is the shared store as the registry needs it. The watcher calls Load and Changes one after the
// other; the registrar calls the rest from another goroutine. No lock is held during a call.
type Store interface {
	// Hosts reads the registered entry hosts, page by page. The list may be seconds old. No page may take
	// longer than the limit; with an error it returns what it has read until then.
	Hosts(ctx context.Context, page time.Duration) ([]Host, error)
	// Load reads everything, page by page. No page may take longer than the limit.
	Load(ctx context.Context, page time.Duration) (Batch, error)
	// Changes waits until something changes after a revision, but no longer than wait. It fails with
	// ErrHistoryGone when the store no longer knows the changes since then.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	// Register writes the host's record under a new lease of the given duration.
	Register(ctx context.Context, h Host, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It fails with ErrLeaseEnded when the lease has ended.
	Renew(ctx context.Context, l Lease) error
}

// Lease identifies a lease of the store.
type Lease uint64

// ConstError is an error without parameters.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Errors of a Store.
const (
	ErrHistoryGone ConstError = "the store no longer holds the changes since the revision"
	ErrLeaseEnded  ConstError = "the lease has ended"
)

// Errors of following another host.
const (
	errUpdateTimeout ConstError = "no update in time"
	errNotDirect     ConstError = "the host doesn't hear from the store itself"
	errStale         ConstError = "the host has not heard from the store for too long"
	errBetterSource  ConstError = "a better ranked host is tried"
)

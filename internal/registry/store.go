package registry

import (
	"context"
	"time"
)

// Store gives access to the shared store. Its methods are called from several goroutines; a call of Changes may still be
// under way when the next one begins. No lock is held during a call.
type Store interface {
	// Hosts reads the registered entry hosts page by page. Unless it must be up to date, which costs more, the list may be
	// seconds old, and so of an earlier era, so that the revisions have none. Reading one page may take no longer than the
	// time given. With an error it returns the hosts read so far.
	Hosts(ctx context.Context, upToDate bool, page time.Duration) ([]Host, error)
	// Load reads all records page by page. Reading one page may take no longer than the time given.
	Load(ctx context.Context, page time.Duration) (Batch, error)
	// Changes returns the changes after a revision. When there are none it waits for one, but no longer than
	// wait. It returns ErrHistoryGone when the store no longer holds the changes since the revision, or is in another era.
	Changes(ctx context.Context, after Revision, wait time.Duration) (Batch, error)
	// Register writes the host's record under a new lease with the given TTL.
	Register(ctx context.Context, h Host, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It returns ErrLeaseEnded when the lease has ended, and an EraError if the store is in another
	// era.
	Renew(ctx context.Context, l Lease) error
}

// Lease identifies a lease in the store. In another era, the same number may be the lease of another host.
type Lease struct {
	// Era is the era of the store in which the lease was granted or read.
	Era uint64
	// ID is the number of the lease, or zero for none.
	ID uint64
}

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Errors of a Store.
const (
	ErrHistoryGone ConstError = "the store no longer holds the changes since the revision"
	ErrLeaseEnded  ConstError = "the lease has ended"
)

// errStoreSlow means that the store has not answered a call in time. It may still do so.
const errStoreSlow ConstError = "the store takes too long"

// Errors of following another host.
const (
	errUpdateTimeout ConstError = "no update in time"
	errNotDirect     ConstError = "the host doesn't watch the store itself"
	errStale         ConstError = "the host's last confirmation from the store is too old"
	errTooLarge      ConstError = "the update of the host is too large"
	errBetterSource  ConstError = "a better ranked source was found"
)

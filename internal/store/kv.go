package store

import (
	"context"
	"time"
)

// MaxValueSize is the size in bytes of the largest value that the service accepts.
const MaxValueSize = 1 << 20

// Absent is the index to pass to CompareAndSwap for a key that must not exist yet.
const Absent uint64 = 0

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index is the modification index that CompareAndSwap compares.
	Index uint64
	// Session is the session that holds the lease on the key. It is empty when none does.
	Session string
}

// KV is the platform's key-value service. Implementations are safe for concurrent use.
//
// A call that is known to have had no effect fails with a NotAppliedError. A call that may have had an effect
// fails with an OutcomeUnknownError. When the service has refused the call, the error wraps a StatusError.
type KV interface {
	// Get returns the entry, or nil when the key does not exist.
	Get(ctx context.Context, key string) (*Entry, error)
	// CompareAndSwap writes value if the key's modification index equals index. Absent means that the key must
	// not exist. It reports whether the value was written.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Watch waits until the key's watch index exceeds after, but no longer than wait. It returns the entry, or
	// nil when the key does not exist, and the watch index to pass to the next call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*Entry, uint64, error)
	// DeleteTree deletes all keys that begin with prefix.
	DeleteTree(ctx context.Context, prefix string) error
	// CreateSession starts a lease that expires when it is not renewed for ttl. It returns the session's id.
	CreateSession(ctx context.Context, ttl time.Duration) (string, error)
	// RenewSession restarts the lease's TTL. It returns an error that wraps ErrNoSession after the lease has
	// expired.
	RenewSession(ctx context.Context, session string) error
	// DestroySession ends the lease and releases the keys that it holds.
	DestroySession(ctx context.Context, session string) error
	// Acquire writes value and locks the key for the session. It returns false when another session holds the
	// key.
	Acquire(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Release writes value and unlocks the key. It returns false when the session does not hold the key.
	Release(ctx context.Context, key string, value []byte, session string) (bool, error)
}

// PutIfAbsent writes a key that must not exist yet. It reports whether the value was written.
func PutIfAbsent(ctx context.Context, kv KV, key string, value []byte) (bool, error) {
	return kv.CompareAndSwap(ctx, key, value, Absent)
}

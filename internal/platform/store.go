// Package platform is a client of the platform's key-value service and of its list of
// instances and endpoints.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of every Store. Each returned error wraps one of them.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call was refused or never sent; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain means that the call was sent and got no response; it may have taken effect.
	ErrUncertain = errors.New("store outcome uncertain")
)

// Version increases with each write of a key; zero means that the key is absent.
type Version uint64

// Entry is one key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lock is the lease that holds the key, empty if there is none.
	Lock LeaseID
	// Fence is a fencing token: it increases each time a lease acquires the key.
	Fence uint64
}

// LeaseID identifies a lease granted by the platform.
type LeaseID string

// Write is one compare-and-swap of a batch. With Expect zero it creates the key.
type Write struct {
	Key    string
	Value  []byte
	Expect Version
	// Delete removes the key instead of writing Value.
	Delete bool
	// Holder, if set, makes the write fail unless this lease holds the key Guard.
	Holder LeaseID
	Guard  string
	// ExtraGuards are further leases that must hold their keys.
	ExtraGuards []Guard
	// IfUnchanged, if set, is a key that must still be at the version that was read.
	IfUnchanged KeyVersion
	// IfAbsent are keys that must be absent.
	IfAbsent []string
	// DeleteTree removes every key that begins with Key; Expect is ignored.
	DeleteTree bool
}

// KeyVersion is a key at a version, zero when it is absent.
type KeyVersion struct {
	Key     string
	Version Version
}

// Guard is a key that a lease must hold.
type Guard struct {
	Key    string
	Holder LeaseID
}

// Store is the platform's key-value service and its list of instances and endpoints. All
// methods honour the context's deadline.
type Store interface {
	// Get returns one key, or ErrNotFound. The read is strongly consistent.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys under a prefix in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes one key if its version is the expected one, and returns the new version.
	Swap(ctx context.Context, w Write) (Version, error)
	// Commit applies all writes or none. It takes at most 64 writes.
	Commit(ctx context.Context, writes ...Write) error
	// Grant creates a lease that expires when it is not renewed within ttl.
	Grant(ctx context.Context, name string, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; ErrNotFound if it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and releases the keys that it held.
	Revoke(ctx context.Context, id LeaseID) error
	// Acquire locks key for the lease and writes value; the entry has the new fence.
	// ErrConflict if another lease holds the key.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) (Entry, error)
	// Wait returns the entry once its version differs from after, or unchanged when the wait
	// is over. It counts as one call.
	Wait(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// Members returns one service's part of the platform's list of instances and endpoints,
	// which may lag behind the actual state.
	Members(ctx context.Context, service string) ([]Member, error)
	// Watch returns one service's part of that list once its index differs from the query's,
	// or unchanged when the wait is over. It counts as one call.
	Watch(ctx context.Context, q MemberQuery) (MemberList, error)
}

// MemberQuery selects one service's part of the platform's list.
type MemberQuery struct {
	Service string
	// DataCentre limits the rows to one data centre; empty means all.
	DataCentre string
	// After is the index of the previous response; with zero the call returns immediately.
	After uint64
	Wait  time.Duration
}

// MemberList is one service's part of the list with its index, which increases with each
// change and decreases only when the platform's service is restored from a backup.
type MemberList struct {
	Members []Member
	Index   uint64
}

// MemberState is the state of an instance or endpoint in the platform's list.
type MemberState string

// The states of a listed member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one row of the platform's list.
type Member struct {
	Name        string
	Service     string
	Address     string // host:port
	Region      string
	DataCentre  string
	Incarnation string
	State       MemberState
	Meta        map[string]string
}

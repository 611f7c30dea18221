package node

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// timeoutStore limits every call of a store by a timeout.
type timeoutStore struct {
	platform.Store
	timeout time.Duration
}

// Get implements platform.Store.
func (t timeoutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Get(ctx, key)
}

// List implements platform.Store.
func (t timeoutStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.List(ctx, prefix)
}

// Swap implements platform.Store.
func (t timeoutStore) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Swap(ctx, w)
}

// Commit implements platform.Store.
func (t timeoutStore) Commit(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Commit(ctx, writes...)
}

// Grant implements platform.Store.
func (t timeoutStore) Grant(ctx context.Context, name string, ttl time.Duration) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Grant(ctx, name, ttl)
}

// Renew implements platform.Store.
func (t timeoutStore) Renew(ctx context.Context, id platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Renew(ctx, id)
}

// Acquire implements platform.Store.
func (t timeoutStore) Acquire(ctx context.Context, key string, value []byte, id platform.LeaseID) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Acquire(ctx, key, value, id)
}

// Members implements platform.Store.
func (t timeoutStore) Members(ctx context.Context, service string) ([]platform.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Members(ctx, service)
}

// Watch implements platform.Store. The store may extend the wait by up to a sixteenth.
func (t timeoutStore) Watch(ctx context.Context, q platform.MemberQuery) (platform.MemberList, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+q.Wait/16+t.timeout)
	defer cancel()
	return t.Store.Watch(ctx, q)
}

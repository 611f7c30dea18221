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
func (b timeoutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Get(ctx, key)
}

// List implements platform.Store.
func (b timeoutStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.List(ctx, prefix)
}

// Swap implements platform.Store.
func (b timeoutStore) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Swap(ctx, w)
}

// Commit implements platform.Store.
func (b timeoutStore) Commit(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Commit(ctx, writes...)
}

// Grant implements platform.Store.
func (b timeoutStore) Grant(ctx context.Context, name string, ttl time.Duration) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Grant(ctx, name, ttl)
}

// Renew implements platform.Store.
func (b timeoutStore) Renew(ctx context.Context, id platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Renew(ctx, id)
}

// Acquire implements platform.Store.
func (b timeoutStore) Acquire(ctx context.Context, key string, value []byte, id platform.LeaseID) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Acquire(ctx, key, value, id)
}

// Members implements platform.Store.
func (b timeoutStore) Members(ctx context.Context, service string) ([]platform.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Members(ctx, service)
}

// Watch implements platform.Store. The store may extend the wait by up to a sixteenth.
func (b timeoutStore) Watch(ctx context.Context, q platform.MemberQuery) (platform.MemberList, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+q.Wait/16+b.timeout)
	defer cancel()
	return b.Store.Watch(ctx, q)
}

package node

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// bounded gives every call of a store a deadline.
type bounded struct {
	platform.Store
	limit time.Duration
}

// Get implements platform.Store.
func (b bounded) Get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Get(ctx, key)
}

// List implements platform.Store.
func (b bounded) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.List(ctx, prefix)
}

// Swap implements platform.Store.
func (b bounded) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Swap(ctx, w)
}

// Commit implements platform.Store.
func (b bounded) Commit(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Commit(ctx, writes...)
}

// Grant implements platform.Store.
func (b bounded) Grant(ctx context.Context, name string, ttl time.Duration) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Grant(ctx, name, ttl)
}

// Renew implements platform.Store.
func (b bounded) Renew(ctx context.Context, id platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Renew(ctx, id)
}

// Acquire implements platform.Store.
func (b bounded) Acquire(ctx context.Context, key string, value []byte, id platform.LeaseID) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Acquire(ctx, key, value, id)
}

// Members implements platform.Store.
func (b bounded) Members(ctx context.Context, service string) ([]platform.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.Store.Members(ctx, service)
}

// Watch implements platform.Store. The store may take a sixteenth more than the wait.
func (b bounded) Watch(ctx context.Context, q platform.MemberQuery) (platform.MemberList, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+q.Wait/16+b.limit)
	defer cancel()
	return b.Store.Watch(ctx, q)
}

package placer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// leasePrefix is the store key prefix of all placers' leases.
const leasePrefix = "placer/"

// leaseValue is the value stored under the lease's key by its holder.
type leaseValue struct {
	Instance fleet.Instance `cbor:"1,keyasint"`
	// Reconciled is set once the holder has compared every copy recorded for its data
	// centre with the state of its endpoints. Only then may other data centres rely
	// on these copies.
	Reconciled bool `cbor:"2,keyasint"`
}

func (v leaseValue) encode() []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // cannot fail: two plain fields
	}
	return data
}

// lease is the order lease of one data centre: only its holder may send orders.
// The expiry is judged by the holder's own clock and counted from before the call
// that renewed it, so that the holder stops no later than the store releases it.
type lease struct {
	store          platform.Store
	clock          func() time.Time
	key            string
	instance       fleet.Instance
	ttl            time.Duration
	margin         time.Duration // how long before expiry in the store the holder stops
	backoff        backoff
	ignoreExpiry   bool // treats an expired lease as valid; only set in tests
	renewWhenStale bool // renews although the copies are stale; only set in tests

	id         platform.LeaseID
	fence      fleet.Fence
	version    platform.Version
	reconciled bool
	// reconciledAt is when the recorded copies were last compared with the endpoints.
	// A placer that can't keep them current lets its lease expire, so that other
	// data centres stop relying on them.
	reconciledAt time.Time
	expiresAt    time.Time
}

// live reports whether an order may be sent now.
func (l *lease) live() bool {
	return l.id != "" && (l.ignoreExpiry || l.clock().Before(l.expiresAt))
}

// maintain renews the lease, or tries to acquire it when it is free.
func (l *lease) maintain(ctx context.Context, now time.Time) error {
	if l.id != "" && !l.live() {
		l.markLost(now)
	}
	switch {
	case !l.backoff.ready(now), l.stale(now):
		return nil
	case l.id != "":
		return l.renew(ctx, now)
	default:
		return l.tryAcquire(ctx, now)
	}
}

// nearExpiry reports whether less than half of the usable lease time is left.
func (l *lease) nearExpiry() bool {
	return l.expiresAt.Sub(l.clock()) < (l.ttl-l.margin)/2
}

// renewIfDue renews a live lease during a long step, when renewal is due.
func (l *lease) renewIfDue(ctx context.Context, now time.Time) error {
	if !l.live() || !l.backoff.ready(now) || l.stale(now) {
		return nil
	}
	return l.renew(ctx, now)
}

// stale reports whether other data centres rely on copies that were not reconciled
// with the endpoints recently.
func (l *lease) stale(now time.Time) bool {
	return l.id != "" && l.reconciled && !l.renewWhenStale && now.Sub(l.reconciledAt) > l.ttl/3
}

func (l *lease) renew(ctx context.Context, now time.Time) error {
	start := l.clock()
	err := l.store.Renew(ctx, l.id)
	switch {
	case err == nil:
		l.expiresAt = start.Add(l.ttl - l.margin)
		l.backoff.scheduleAfter(now, l.ttl/3)
		return nil
	case errors.Is(err, platform.ErrNotFound):
		l.markLost(now)
	default:
		l.backoff.recordFailure(now, l.ttl/4)
	}
	return fmt.Errorf("renew lease %s: %w", l.key, err)
}

// tryAcquire reads the key first, so that polling a lease held by another instance
// costs only one read.
func (l *lease) tryAcquire(ctx context.Context, now time.Time) error {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		l.backoff.delay = max(l.backoff.delay, l.ttl/2) // many instances poll the same lease, so start at a long delay
		l.backoff.recordFailure(now, l.backoff.maxDelay)
		return fmt.Errorf("read lease %s: %w", l.key, err)
	}
	if entry.Lock != "" {
		l.backoff.scheduleAfter(now, l.ttl)
		return nil
	}
	start := l.clock()
	id, err := l.store.Grant(ctx, l.key, l.ttl)
	if err != nil {
		l.backoff.recordFailure(now, l.backoff.maxDelay)
		return fmt.Errorf("grant lease %s: %w", l.key, err)
	}
	return l.acquire(ctx, now, start, id)
}

func (l *lease) acquire(ctx context.Context, now, start time.Time, id platform.LeaseID) error {
	value := leaseValue{Instance: l.instance}.encode()
	entry, err := l.store.Acquire(ctx, l.key, value, id)
	if errors.Is(err, platform.ErrUncertain) {
		entry, err = l.store.Get(ctx, l.key)
		if err == nil && entry.Lock != id {
			err = platform.ErrConflict
		}
	}
	if err != nil {
		l.backoff.recordFailure(now, l.backoff.maxDelay)
		return fmt.Errorf("acquire lease %s: %w", l.key, err)
	}
	l.id, l.fence, l.version = id, fleet.Fence(entry.Fence), entry.Version
	l.reconciled = false
	l.expiresAt = start.Add(l.ttl - l.margin)
	l.backoff.scheduleAfter(now, l.ttl/3)
	return nil
}

// publishReconciled announces in the lease's value that the other data centres can
// rely on the copies of this one.
func (l *lease) publishReconciled(ctx context.Context) error {
	value := leaseValue{Instance: l.instance, Reconciled: true}.encode()
	w := platform.Write{Key: l.key, Value: value, Expect: l.version, Holder: l.id, Guard: l.key}
	version, err := l.store.Swap(ctx, w)
	if err == nil {
		l.version, l.reconciled = version, true
		return nil
	}
	entry, readErr := l.store.Get(ctx, l.key)
	if readErr == nil && entry.Lock == l.id {
		l.version = entry.Version // the next write starts from this version
	}
	return fmt.Errorf("publish reconciled state in lease %s: %w", l.key, err)
}

// release revokes the lease, so that neither a successor nor this placer itself,
// when it needs a newer fence, has to wait for its expiry.
func (l *lease) release(ctx context.Context, now time.Time) error {
	if l.id == "" {
		return nil
	}
	id := l.id
	l.id = ""
	l.backoff.allowNow(now)
	if err := l.store.Revoke(ctx, id); err != nil {
		l.backoff.recordFailure(now, l.backoff.maxDelay)
		return fmt.Errorf("revoke lease %s: %w", l.key, err)
	}
	return nil
}

func (l *lease) markLost(now time.Time) {
	l.id = ""
	l.backoff.recordFailure(now, l.backoff.maxDelay)
}

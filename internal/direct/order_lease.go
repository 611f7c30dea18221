package direct

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// holderKey is the store key that names the holder of the order lease.
	holderKey = "chiveramp/holder"
	// lastHolderKey is the store key that names the last holder; it outlives the lease.
	lastHolderKey = "chiveramp/last"
	// acquireSpacing staggers the instances' attempts to acquire the order lease.
	acquireSpacing = 600 * time.Millisecond
)

// orderLease is the lease in the store that permits its holder to give orders. It is safe
// for concurrent use.
type orderLease struct {
	store       *platform.Store
	name        string
	ttl         time.Duration
	callTimeout time.Duration
	logger      log.Logger

	mu                 sync.Mutex
	tenure             *tenure.OrderLease
	leaseID            int64
	lastHolderRevision int64         // revision of lastHolderKey, 0 once it names this machine
	vacantSince        time.Duration // since when no peer announces that it holds the lease
	triedAt            time.Duration // when this instance last tried to acquire it, 0 before the first time
	released           bool
}

func newOrderLease(store *platform.Store, t *tenure.OrderLease, c config.Gateway, logger log.Logger) *orderLease {
	return &orderLease{store: store, name: c.Instance.Name + "@" + c.Listen.Peer, ttl: c.Orders.Lease, callTimeout: c.Store.Timeout, logger: logger, tenure: t}
}

// uptime returns a clock that also runs while the machine is suspended and can't be set.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // no lease is ever held at this time
	}
	return time.Duration(ts.Nano())
}

// MayOrder returns the fence and reports whether an order may be sent now.
func (r *orderLease) MayOrder() (fleet.Fence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure.Fence(), r.tenure.MayOrder(uptime())
}

// heldFence returns the fence while the lease is held, else 0.
func (r *orderLease) heldFence() fleet.Fence {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tenure.Held(uptime()) {
		return 0
	}
	return r.tenure.Fence()
}

// maintain renews the lease if this instance holds it, or tries to acquire it when no peer
// announces that it does.
func (r *orderLease) maintain(ctx context.Context, s *state) {
	r.mu.Lock()
	lease, released, held := r.leaseID, r.released, r.tenure.Held(uptime())
	lastHolderRevision, mayOrder := r.lastHolderRevision, r.tenure.MayOrder(uptime())
	r.mu.Unlock()
	if !released && mayOrder && lastHolderRevision != 0 {
		r.recordHolder(ctx, lastHolderRevision)
	}
	switch {
	case released:
	case lease != 0:
		r.renew(ctx, lease, held)
	case s.ready() == nil && r.shouldAcquire(s):
		r.acquire(ctx)
	}
}

// shouldAcquire reports whether it is this instance's turn to try to acquire the lease.
func (r *orderLease) shouldAcquire(s *state) bool {
	now := uptime()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.noKnownHolder() {
		r.vacantSince = 0
		return false
	}
	if r.vacantSince == 0 {
		r.vacantSince = now
	}
	// The first attempt needs no waiting: this machine may be the holder, restarted.
	position := time.Duration(s.position())
	if r.triedAt != 0 && (now-r.vacantSince < position*acquireSpacing || now-r.triedAt < position*acquireSpacing) {
		return false
	}
	r.triedAt = now
	return true
}

func (r *orderLease) renew(ctx context.Context, lease int64, held bool) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	requestedAt := uptime()
	err := r.store.Renew(ctx, lease)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && uptime()-requestedAt < r.ttl:
		r.tenure.Renewed(requestedAt)
	case errors.Is(err, platform.ErrNotFound), !held:
		_ = r.logger.Log("step", "right lost", "fence", r.tenure.Fence(), "err", err)
		r.tenure.Lost()
		r.leaseID, r.vacantSince = 0, 0
	}
}

func (r *orderLease) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	requestedAt := uptime()
	lease, fence, noOther, err := r.claim(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released || err != nil {
		// If the write succeeded but its answer was lost, the key expires with the lease,
		// which is not renewed.
		_ = r.logger.Log("step", "right refused", "err", err)
		return
	}
	r.leaseID, r.lastHolderRevision = lease, 0
	if !noOther {
		r.lastHolderRevision = int64(fence)
	}
	r.tenure.Acquired(uptime(), requestedAt, fence, noOther)
	_ = r.logger.Log("step", "right acquired", "fence", fence, "alone", noOther)
}

// recordHolder writes this machine as the last holder, after it has waited until the previous
// holder can no longer have sent orders.
func (r *orderLease) recordHolder(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	_, err := r.store.Put(ctx, platform.Write{Key: lastHolderKey, Value: []byte(r.name), Guard: revision})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastHolderRevision == revision && (err == nil || errors.Is(err, platform.ErrConflict)) {
		r.lastHolderRevision = 0 // on a conflict the key is from a write whose answer was lost, or from another holder
	}
	_ = r.logger.Log("step", "right settled", "err", err)
}

// claim writes holderKey unless another machine holds it under a running lease. noOther is set
// if lastHolderKey shows that no other machine can have sent orders recently.
func (r *orderLease) claim(ctx context.Context) (lease int64, fence fleet.Fence, noOther bool, err error) {
	holder, err := r.get(ctx, holderKey)
	if err != nil {
		return 0, 0, false, err
	}
	if holder.Revision != 0 && string(holder.Value) != r.name {
		return 0, 0, false, fmt.Errorf("order lease is held by %s", holder.Value)
	}
	last, err := r.get(ctx, lastHolderKey)
	if err != nil {
		return 0, 0, false, err
	}
	lease, ttl, err := r.store.Grant(ctx, r.ttl)
	if err == nil && ttl < r.ttl {
		err = errors.New("store granted a shorter lease than requested")
	}
	if err != nil {
		return 0, 0, false, err
	}
	noOther = tenure.NoOtherHolder(string(last.Value), r.name)
	revision, err := r.store.Put(ctx,
		platform.Write{Key: holderKey, Value: []byte(r.name), Lease: lease, Guard: holder.Revision},
		platform.Write{Key: lastHolderKey, Value: []byte(tenure.HolderRecord(noOther, r.name)), Guard: last.Revision})
	return lease, fleet.Fence(revision), noOther, err
}

// get reads a key. It returns the zero item if there is none.
func (r *orderLease) get(ctx context.Context, key string) (platform.Item, error) {
	item, _, err := r.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, nil
	}
	return item, err
}

// release revokes the lease before it expires. The next holder still has to wait for orders
// that this instance has sent.
func (r *orderLease) release(ctx context.Context) {
	r.mu.Lock()
	lease := r.leaseID
	r.tenure.Lost()
	r.leaseID, r.released = 0, true
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	err := r.store.Revoke(ctx, lease)
	_ = r.logger.Log("step", "right released", "err", err)
}

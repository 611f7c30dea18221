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
func (o *orderLease) MayOrder() (fleet.Fence, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure.Fence(), o.tenure.MayOrder(uptime())
}

// heldFence returns the fence while the lease is held, else 0.
func (o *orderLease) heldFence() fleet.Fence {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.tenure.Held(uptime()) {
		return 0
	}
	return o.tenure.Fence()
}

// maintain renews the lease if this instance holds it, or tries to acquire it when no peer
// announces that it does.
func (o *orderLease) maintain(ctx context.Context, s *state) {
	o.mu.Lock()
	lease, released, held := o.leaseID, o.released, o.tenure.Held(uptime())
	lastHolderRevision, mayOrder := o.lastHolderRevision, o.tenure.MayOrder(uptime())
	o.mu.Unlock()
	if !released && mayOrder && lastHolderRevision != 0 {
		o.recordHolder(ctx, lastHolderRevision)
	}
	switch {
	case released:
	case lease != 0:
		o.renew(ctx, lease, held)
	case s.ready() == nil && o.shouldAcquire(s):
		o.acquire(ctx)
	}
}

// shouldAcquire reports whether it is this instance's turn to try to acquire the lease.
func (o *orderLease) shouldAcquire(s *state) bool {
	now := uptime()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !s.noKnownHolder() {
		o.vacantSince = 0
		return false
	}
	if o.vacantSince == 0 {
		o.vacantSince = now
	}
	// The first attempt needs no waiting: this machine may be the holder, restarted.
	position := time.Duration(s.position())
	if o.triedAt != 0 && (now-o.vacantSince < position*acquireSpacing || now-o.triedAt < position*acquireSpacing) {
		return false
	}
	o.triedAt = now
	return true
}

func (o *orderLease) renew(ctx context.Context, lease int64, held bool) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	requestedAt := uptime()
	err := o.store.Renew(ctx, lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && uptime()-requestedAt < o.ttl:
		o.tenure.Renewed(requestedAt)
	case errors.Is(err, platform.ErrNotFound), !held:
		_ = o.logger.Log("step", "right lost", "fence", o.tenure.Fence(), "err", err)
		o.tenure.Lost()
		o.leaseID, o.vacantSince = 0, 0
	}
}

func (o *orderLease) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	requestedAt := uptime()
	lease, fence, noOther, err := o.claim(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released || err != nil {
		// If the write succeeded but its answer was lost, the key expires with the lease,
		// which is not renewed.
		_ = o.logger.Log("step", "right refused", "err", err)
		return
	}
	o.leaseID, o.lastHolderRevision = lease, 0
	if !noOther {
		o.lastHolderRevision = int64(fence)
	}
	o.tenure.Acquired(uptime(), requestedAt, fence, noOther)
	_ = o.logger.Log("step", "right acquired", "fence", fence, "alone", noOther)
}

// recordHolder writes this machine as the last holder, after it has waited until the previous
// holder can no longer have sent orders.
func (o *orderLease) recordHolder(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	_, err := o.store.Put(ctx, platform.Write{Key: lastHolderKey, Value: []byte(o.name), Guard: revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastHolderRevision == revision && (err == nil || errors.Is(err, platform.ErrConflict)) {
		o.lastHolderRevision = 0 // on a conflict the key is from a write whose answer was lost, or from another holder
	}
	_ = o.logger.Log("step", "right settled", "err", err)
}

// claim writes holderKey unless another machine holds it under a running lease. noOther is set
// if lastHolderKey shows that no other machine can have sent orders recently.
func (o *orderLease) claim(ctx context.Context) (lease int64, fence fleet.Fence, noOther bool, err error) {
	holder, err := o.get(ctx, holderKey)
	if err != nil {
		return 0, 0, false, err
	}
	if holder.Revision != 0 && string(holder.Value) != o.name {
		return 0, 0, false, fmt.Errorf("order lease is held by %s", holder.Value)
	}
	last, err := o.get(ctx, lastHolderKey)
	if err != nil {
		return 0, 0, false, err
	}
	lease, ttl, err := o.store.Grant(ctx, o.ttl)
	if err == nil && ttl < o.ttl {
		err = errors.New("store granted a shorter lease than requested")
	}
	if err != nil {
		return 0, 0, false, err
	}
	noOther = tenure.NoOtherHolder(string(last.Value), o.name)
	revision, err := o.store.Put(ctx,
		platform.Write{Key: holderKey, Value: []byte(o.name), Lease: lease, Guard: holder.Revision},
		platform.Write{Key: lastHolderKey, Value: []byte(tenure.HolderRecord(noOther, o.name)), Guard: last.Revision})
	return lease, fleet.Fence(revision), noOther, err
}

// get reads a key. It returns the zero item if there is none.
func (o *orderLease) get(ctx context.Context, key string) (platform.Item, error) {
	item, _, err := o.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, nil
	}
	return item, err
}

// release revokes the lease before it expires. The next holder still has to wait for orders
// that this instance has sent.
func (o *orderLease) release(ctx context.Context) {
	o.mu.Lock()
	lease := o.leaseID
	o.tenure.Lost()
	o.leaseID, o.released = 0, true
	o.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	err := o.store.Revoke(ctx, lease)
	_ = o.logger.Log("step", "right released", "err", err)
}

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
	// holderKey is the store's key of the instance that gives orders.
	holderKey = "chiveramp/holder"
	// lastKey names the machine that held it last, also after its lease.
	lastKey = "chiveramp/last"
	// queueStep keeps instances from trying for the right at the same moment.
	queueStep = 600 * time.Millisecond
)

// right is the right to give orders, a lease in the store. It is safe for concurrent use.
type right struct {
	store  *platform.Store
	name   string
	ttl    time.Duration
	call   time.Duration
	logger log.Logger

	mu     sync.Mutex
	tenure *tenure.OrderLease
	lease  int64
	record int64         // revision of the last holder's key, 0 once it names this machine
	since  time.Duration // since when nobody is heard to hold it
	tried  time.Duration // when this instance last tried for it, 0 before the first time
	closed bool
}

func newRight(store *platform.Store, t *tenure.OrderLease, c config.Gateway, logger log.Logger) *right {
	return &right{store: store, name: c.Instance.Name + "@" + c.Listen.Peer, ttl: c.Orders.Lease, call: c.Store.Timeout, logger: logger, tenure: t}
}

// uptime is a clock that runs while the machine is suspended, and that nobody sets.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // no lease is ever held at this time
	}
	return time.Duration(ts.Nano())
}

// Orders reports whether an order may leave now.
func (r *right) Orders() (fleet.Fence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure.Fence(), r.tenure.MayOrder(uptime())
}

// fence returns the fencing number while the right is held, else 0.
func (r *right) fence() fleet.Fence {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tenure.Held(uptime()) {
		return 0
	}
	return r.tenure.Fence()
}

// keep renews the right, or tries for it when nobody is heard to hold it.
func (r *right) keep(ctx context.Context, s *state) {
	r.mu.Lock()
	lease, closed, held := r.lease, r.closed, r.tenure.Held(uptime())
	record, orders := r.record, r.tenure.MayOrder(uptime())
	r.mu.Unlock()
	if !closed && orders && record != 0 {
		r.settle(ctx, record)
	}
	switch {
	case closed:
	case lease != 0:
		r.renew(ctx, lease, held)
	case s.ready() == nil && r.due(s):
		r.acquire(ctx)
	}
}

// due reports whether it is this instance's turn to try for the right.
func (r *right) due(s *state) bool {
	now := uptime()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.vacant() {
		r.since = 0
		return false
	}
	if r.since == 0 {
		r.since = now
	}
	// The first time at once: the machine may be the holder itself, started again.
	turn := time.Duration(s.turn())
	if r.tried != 0 && (now-r.since < turn*queueStep || now-r.tried < turn*queueStep) {
		return false
	}
	r.tried = now
	return true
}

func (r *right) renew(ctx context.Context, lease int64, held bool) {
	ctx, cancel := context.WithTimeout(ctx, r.call)
	defer cancel()
	asked := uptime()
	err := r.store.Renew(ctx, lease)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && uptime()-asked < r.ttl:
		r.tenure.Renewed(asked)
	case errors.Is(err, platform.ErrNotFound), !held:
		_ = r.logger.Log("step", "right lost", "fence", r.tenure.Fence(), "err", err)
		r.tenure.Lost()
		r.lease, r.since = 0, 0
	}
}

func (r *right) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.call)
	defer cancel()
	asked := uptime()
	lease, fence, alone, err := r.claim(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || err != nil {
		// A write whose answer was lost ends with its lease, which isn't renewed.
		_ = r.logger.Log("step", "right refused", "err", err)
		return
	}
	r.lease, r.record = lease, 0
	if !alone {
		r.record = int64(fence)
	}
	r.tenure.Acquired(uptime(), asked, fence, alone)
	_ = r.logger.Log("step", "right acquired", "fence", fence, "alone", alone)
}

// settle puts this machine on record as the last holder, now that it has waited for the
// one before.
func (r *right) settle(ctx context.Context, record int64) {
	ctx, cancel := context.WithTimeout(ctx, r.call)
	defer cancel()
	_, err := r.store.Put(ctx, platform.Write{Key: lastKey, Value: []byte(r.name), Guard: record})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record == record && (err == nil || errors.Is(err, platform.ErrConflict)) {
		r.record = 0 // a write whose answer was lost, or another holder's
	}
	_ = r.logger.Log("step", "right settled", "err", err)
}

// claim writes the holder's key unless another machine's lease on it runs. It tells
// whether no other machine can have ordered lately: one key outlives the lease for that.
func (r *right) claim(ctx context.Context) (lease int64, fence fleet.Fence, alone bool, err error) {
	holder, err := r.read(ctx, holderKey)
	if err != nil {
		return 0, 0, false, err
	}
	if holder.Revision != 0 && string(holder.Value) != r.name {
		return 0, 0, false, fmt.Errorf("held by %s", holder.Value)
	}
	last, err := r.read(ctx, lastKey)
	if err != nil {
		return 0, 0, false, err
	}
	lease, ttl, err := r.store.Grant(ctx, r.ttl)
	if err == nil && ttl < r.ttl {
		err = errors.New("the store grants shorter leases only")
	}
	if err != nil {
		return 0, 0, false, err
	}
	alone = tenure.NoOtherHolder(string(last.Value), r.name)
	revision, err := r.store.Put(ctx,
		platform.Write{Key: holderKey, Value: []byte(r.name), Lease: lease, Guard: holder.Revision},
		platform.Write{Key: lastKey, Value: []byte(tenure.HolderRecord(alone, r.name)), Guard: last.Revision})
	return lease, fleet.Fence(revision), alone, err
}

// read returns a key, its zero value if there is none.
func (r *right) read(ctx context.Context, key string) (platform.Item, error) {
	item, _, err := r.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, nil
	}
	return item, err
}

// release gives the right back before its end. Orders sent before count for the next holder.
func (r *right) release(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.tenure.Lost()
	r.lease, r.closed = 0, true
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.call)
	defer cancel()
	err := r.store.Revoke(ctx, lease)
	_ = r.logger.Log("step", "right released", "err", err)
}

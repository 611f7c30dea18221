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
	// claimPrefix is the prefix of the keys that prove to the store that a lease is still the one
	// that was granted.
	claimPrefix = "chiveramp/claims/"
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
	lease              platform.Lease
	proof              platform.Write // guards the calls made under the lease
	lastHolderRevision int64          // revision of lastHolderKey, 0 once it names this instance
	eraSince           time.Duration  // since when the store's era has been known here
	seenReturn         bool           // the store has come back from an older copy meanwhile
	vacantSince        time.Duration  // since when no peer announces that it holds the lease
	triedAt            time.Duration  // when this instance last tried to acquire it, 0 before the first time
	released           bool
}

func newOrderLease(store *platform.Store, t *tenure.OrderLease, c config.Gateway, logger log.Logger) *orderLease {
	return &orderLease{
		store: store, name: c.Instance.Name + "@" + c.Listen.Peer, ttl: c.Orders.Lease, callTimeout: c.Store.Timeout, logger: logger, tenure: t,
	}
}

// newEra records that an answer of the store has shown a new era; returned is set if this machine
// had seen an earlier one.
func (o *orderLease) newEra(returned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.eraSince, o.seenReturn = uptime(), o.seenReturn || returned
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
	lease, released, held := o.lease, o.released, o.tenure.Held(uptime())
	lastHolderRevision, proof, mayOrder := o.lastHolderRevision, o.proof, o.tenure.MayOrder(uptime())
	o.mu.Unlock()
	if !released && mayOrder && lastHolderRevision != 0 {
		o.recordHolder(ctx, lastHolderRevision, proof)
	}
	switch {
	case released:
	case !lease.IsZero():
		o.renew(ctx, lease, held)
	case held:
		o.acquire(ctx) // the store has lost the lease, which still holds by this machine's clock
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

func (o *orderLease) renew(ctx context.Context, lease platform.Lease, held bool) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	requestedAt := uptime()
	err := o.store.Renew(ctx, lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && uptime()-requestedAt < o.ttl:
		o.tenure.Renewed(requestedAt)
	case errors.Is(err, platform.ErrRestored) && held:
		// No other machine gives orders while the lease holds by this machine's clock.
		_ = o.logger.Log("step", "right lost", "fence", o.tenure.Fence(), "until", o.tenure.EarliestExpiry()-uptime(), "err", err)
		o.lease = platform.Lease{}
	case errors.Is(err, platform.ErrNotFound), !held:
		_ = o.logger.Log("step", "right lost", "fence", o.tenure.Fence(), "err", err)
		o.tenure.Lost()
		o.lease, o.vacantSince = platform.Lease{}, 0
	}
}

func (o *orderLease) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	requestedAt := uptime()
	c, err := o.claim(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released || err != nil {
		// If the write succeeded but its answer was lost, the key expires with the lease,
		// which is not renewed.
		_ = o.logger.Log("step", "right refused", "err", err)
		return
	}
	o.lease, o.proof, o.lastHolderRevision = c.lease, c.proof, 0
	if !c.noOther {
		o.lastHolderRevision = int64(c.fence)
	}
	switch {
	case c.held:
		o.tenure.Reacquired(requestedAt, c.fence)
	case c.recordHolds:
		o.tenure.Acquired(uptime(), requestedAt, c.fence, c.noOther)
	default:
		o.tenure.AcquiredWithoutRecord(uptime(), requestedAt, c.fence, o.eraSince)
	}
	_ = o.logger.Log("step", "right acquired", "fence", c.fence, "alone", c.noOther, "held", c.held, "record", c.recordHolds)
}

// recordHolder writes this machine as the last holder, after it has waited until the previous
// holder can no longer have sent orders.
func (o *orderLease) recordHolder(ctx context.Context, revision int64, proof platform.Write) {
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	_, err := o.store.Put(ctx, proof, platform.Write{Key: lastHolderKey, Value: []byte(tenure.InEra(o.name, o.store.Era())), Guard: revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastHolderRevision == revision && (err == nil || errors.Is(err, platform.ErrConflict)) {
		o.lastHolderRevision = 0 // on a conflict the key is from a write whose answer was lost, or from another holder
	}
	_ = o.logger.Log("step", "right settled", "err", err)
}

// claimed is the result of a claim. Held is set if the lease was still held by this machine's
// clock, noOther if no other machine can have sent orders recently, recordHolds if the record of
// the last holder tells so or not.
type claimed struct {
	lease                      platform.Lease
	proof                      platform.Write
	fence                      fleet.Fence
	held, noOther, recordHolds bool
}

// claim writes holderKey unless another machine holds it under a running lease.
func (o *orderLease) claim(ctx context.Context) (claimed, error) {
	var c claimed
	holder, err := o.get(ctx, holderKey)
	if err != nil {
		return c, err
	}
	if holder.Revision != 0 && string(holder.Value) != o.name {
		return c, fmt.Errorf("order lease is held by %s", holder.Value)
	}
	last, err := o.get(ctx, lastHolderKey)
	if err != nil {
		return c, err
	}
	var ttl time.Duration
	c.lease, ttl, err = o.store.Grant(ctx, o.ttl)
	if err == nil && ttl < o.ttl {
		err = errors.New("store granted a shorter lease than requested")
	}
	if err != nil {
		return c, err
	}
	if c.proof, err = o.prove(ctx, c.lease); err != nil {
		return c, err
	}
	era := o.store.Era()
	self := tenure.InEra(o.name, era)
	o.mu.Lock() // the calls before may have shown a new era
	mayOrder, seenReturn := o.tenure.MayOrder(uptime()), o.seenReturn
	c.held = o.tenure.Held(uptime())
	o.mu.Unlock()
	c.recordHolds = tenure.RecordHolds(string(last.Value), era, seenReturn)
	c.noOther = c.recordHolds && tenure.NoOtherHolder(string(last.Value), self)
	if c.held {
		c.noOther = mayOrder
	}
	revision, err := o.store.Put(ctx, c.proof,
		platform.Write{Key: holderKey, Value: []byte(o.name), Lease: c.lease, Guard: holder.Revision},
		platform.Write{Key: lastHolderKey, Value: []byte(tenure.HolderRecord(c.noOther, self)), Guard: last.Revision})
	c.fence = fleet.Fence(revision)
	return c, err
}

// prove writes a key that only this lease has and returns its guard. A call with that guard which
// reaches the store after its return from an older copy has no effect, though the numbers of its
// other guards and of its lease may have been given out again: the key is lost, or the copy has the
// lease too.
func (o *orderLease) prove(ctx context.Context, lease platform.Lease) (platform.Write, error) {
	key := claimPrefix + lease.String()
	revision, err := o.store.Put(ctx, platform.Write{Key: key, Value: []byte(o.name), Lease: lease})
	return platform.Write{Key: key, Guard: revision, GuardOnly: true}, err
}

// get reads a key. It returns the zero item if there is none.
func (o *orderLease) get(ctx context.Context, key string) (platform.Item, error) {
	item, _, err := o.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, nil
	}
	return item, err
}

// release revokes the lease as this instance stops.
func (o *orderLease) release(ctx context.Context) { o.giveUp(ctx, true) }

// giveUp revokes the lease, if this instance has it, before it expires. The next holder still has to
// wait for orders that this instance has sent. After the last time it never acquires the lease again.
func (o *orderLease) giveUp(ctx context.Context, last bool) {
	o.mu.Lock()
	lease := o.lease
	o.tenure.Lost()
	o.lease, o.vacantSince, o.released = platform.Lease{}, 0, o.released || last
	o.mu.Unlock()
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.callTimeout)
	defer cancel()
	err := o.store.Revoke(ctx, lease)
	_ = o.logger.Log("step", "right released", "err", err)
}

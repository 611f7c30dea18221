package once

import (
	"fmt"
	"math/bits"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// LayoutKey is the store key of the layout. It is outside the key prefix of claims.
const LayoutKey = "once-layout"

// shardsPerInstance is the number of shards for each instance of the fleet.
const shardsPerInstance = 32

// ShardsFor returns the number of shards for a fleet of the given size: a power of two, at
// least MinShards.
func ShardsFor(instances int) int {
	return max(MinShards, 1<<bits.Len(uint(max(instances*shardsPerInstance, 1)-1)))
}

// Partition holds the claims of one period, split into shards. Claims made before the first
// period are in period zero.
type Partition struct {
	Period uint64 `cbor:"1,keyasint"`
	Shards int    `cbor:"2,keyasint"`
}

// ShardPrefix returns the key prefix of the claims in one shard.
func (p Partition) ShardPrefix(shard int) string {
	if p.Period == 0 {
		return fmt.Sprintf("%s%02x/", Prefix, shard)
	}
	return fmt.Sprintf("%s%d.%d.%x/", Prefix, p.Period, p.Shards, shard)
}

// Path returns the store key of the claim for an idempotency key.
func (p Partition) Path(k Key) string {
	name := url.PathEscape(string(k.Profile)) + "/" + url.PathEscape(k.Text)
	return p.ShardPrefix(int(xxhash.Sum64String(name)%uint64(p.Shards))) + name
}

// Layout says which partitions hold claims: new ones go to the current partition, older
// ones are in the previous one. A key is claimed if either of them has it.
type Layout struct {
	Current  Partition `cbor:"1,keyasint"`
	Previous Partition `cbor:"2,keyasint"`
	Expired  Partition `cbor:"3,keyasint"` // no longer read, to be deleted
	Changed  time.Time `cbor:"4,keyasint"`
}

// InitialLayout returns the layout to assume if none is stored.
func InitialLayout() Layout {
	return Layout{Current: Partition{Shards: MinShards}}
}

// Next returns the layout that starts the next period.
func (l Layout) Next(now time.Time, shards int) Layout {
	return Layout{
		Current:  Partition{Period: l.Current.Period + 1, Shards: shards},
		Previous: l.Current, Expired: l.Previous, Changed: now,
	}
}

// PeriodEnded reports whether the current period has lasted longer than the given length.
// It is true for the initial layout, which belongs to no period.
func (l Layout) PeriodEnded(now time.Time, length time.Duration) bool {
	return l.Changed.IsZero() || now.Sub(l.Changed) > length
}

// Encode returns the stored form of the layout.
func (l Layout) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode layout: %w", err)
	}
	return raw, nil
}

// DecodeLayout decodes a stored layout.
func DecodeLayout(raw []byte) (Layout, error) {
	var l Layout
	if err := cbor.Unmarshal(raw, &l); err != nil {
		return Layout{}, fmt.Errorf("%w: layout: %w", ErrMalformed, err)
	}
	if l.Current.Shards < 1 || l.Previous.Shards < 1 {
		return Layout{}, fmt.Errorf("%w: layout without shards", ErrMalformed)
	}
	return l, nil
}

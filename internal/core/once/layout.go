package once

import (
	"fmt"
	"math/bits"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// LayoutKey is where the layout stands in the store. No claim stands under it.
const LayoutKey = "once-layout"

// shardsPerInstance is how many shards each instance of the fleet adds.
const shardsPerInstance = 32

// ShardsFor returns how many shards a fleet of so many instances needs.
func ShardsFor(instances int) int {
	return max(MinShards, 1<<bits.Len(uint(max(instances*shardsPerInstance, 1)-1)))
}

// Partition is the claims of one period, in shards. Those before the first period have the
// period zero.
type Partition struct {
	Period uint64 `cbor:"1,keyasint"`
	Shards int    `cbor:"2,keyasint"`
}

// ShardPrefix is where the claims of one shard stand.
func (p Partition) ShardPrefix(shard int) string {
	if p.Period == 0 {
		return fmt.Sprintf("%s%02x/", Prefix, shard)
	}
	return fmt.Sprintf("%s%d.%d.%x/", Prefix, p.Period, p.Shards, shard)
}

// Path is a key's place.
func (p Partition) Path(k Key) string {
	name := url.PathEscape(string(k.Profile)) + "/" + url.PathEscape(k.Text)
	return p.ShardPrefix(int(xxhash.Sum64String(name)%uint64(p.Shards))) + name
}

// Layout says where claims stand: new ones in the present part, older ones in the one
// before it. A key is taken when either has it.
type Layout struct {
	Current  Partition `cbor:"1,keyasint"`
	Previous Partition `cbor:"2,keyasint"`
	Expired  Partition `cbor:"3,keyasint"` // looked at no more, to be swept
	Changed  time.Time `cbor:"4,keyasint"`
}

// InitialLayout is the layout of a store that has none.
func InitialLayout() Layout {
	return Layout{Current: Partition{Shards: MinShards}}
}

// Next returns the layout of the next period.
func (l Layout) Next(now time.Time, shards int) Layout {
	return Layout{
		Current:  Partition{Period: l.Current.Period + 1, Shards: shards},
		Previous: l.Current, Expired: l.Previous, Changed: now,
	}
}

// PeriodEnded says whether a period of a length is over. A store without a layout has no
// period yet.
func (l Layout) PeriodEnded(now time.Time, length time.Duration) bool {
	return l.Changed.IsZero() || now.Sub(l.Changed) > length
}

// Encode returns the stored form.
func (l Layout) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode layout: %w", err)
	}
	return raw, nil
}

// DecodeLayout reads a stored layout.
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

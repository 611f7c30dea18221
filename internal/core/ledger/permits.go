package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// ErrNoPermit means that the limit on the rate or the number of concurrent loads from the
// weight store is reached.
var ErrNoPermit = errors.New("weight store limit reached")

// Limits bound the loads from a region's weight store.
type Limits struct {
	// Rate is in loads per second, zero for no limit.
	Rate float64
	// MaxInFlight is the number of loads in flight, zero for no limit.
	MaxInFlight int
}

// interval returns the minimum time between the starts of two loads.
func (l Limits) interval() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.Rate)
}

// Permit allows one load from the weight store. It is held until the outcome of the load
// is observed.
type Permit struct {
	Order      string           `cbor:"1,keyasint"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint"`
	// Lost marks a load that got no answer.
	Lost bool `cbor:"3,keyasint,omitempty"`
}

// Permits are the permits in use for a region's weight store. They are shared by the
// region's data centres through the store.
type Permits struct {
	nextLoad time.Time
	held     []Permit
}

// PermitsKey returns the store key of a region's permits.
func PermitsKey(region fleet.Region) string {
	return "weights/" + string(region)
}

// Held returns a copy of the permits in use.
func (p Permits) Held() []Permit { return slices.Clone(p.held) }

// Acquire returns the permits with one more, or ErrNoPermit. Lost loads never use up the
// last permit, so that one load can always go on.
func (p Permits) Acquire(now time.Time, limits Limits, permit Permit) (Permits, error) {
	interval := limits.interval()
	next := p.nextLoad
	if next.After(now.Add(interval)) {
		next = now // the instance that wrote it has a clock that is ahead
	}
	if now.Before(next) {
		return p, fmt.Errorf("%w: next load allowed in %s", ErrNoPermit, next.Sub(now))
	}
	if limits.MaxInFlight > 0 && p.inUse(limits.MaxInFlight) >= limits.MaxInFlight {
		return p, fmt.Errorf("%w: %d loads in flight", ErrNoPermit, limits.MaxInFlight)
	}
	p.nextLoad = now.Add(interval)
	p.held = append(slices.Clone(p.held), permit)
	return p, nil
}

// inUse counts the permits in use, with lost loads capped at one below the limit.
func (p Permits) inUse(limit int) int {
	lost := 0
	for _, h := range p.held {
		if h.Lost {
			lost++
		}
	}
	return len(p.held) - lost + min(lost, limit-1)
}

// Reconcile releases the permits of one data centre whose orders are no longer in flight,
// and marks those that got no answer. It reports whether anything changed.
func (p Permits) Reconcile(centre fleet.DataCentre, inFlight, lost func(order string) bool) (Permits, bool) {
	held := make([]Permit, 0, len(p.held))
	for _, h := range p.held {
		if h.DataCentre == centre && !inFlight(h.Order) {
			continue
		}
		if h.DataCentre == centre {
			h.Lost = lost(h.Order)
		}
		held = append(held, h)
	}
	changed := !slices.Equal(held, p.held)
	p.held = held
	return p, changed
}

// permitsRecord is the stored form of permits. Next is in milliseconds since the Unix epoch.
type permitsRecord struct {
	Schema int      `cbor:"1,keyasint"`
	Next   int64    `cbor:"2,keyasint"`
	Held   []Permit `cbor:"3,keyasint"`
}

// Encode returns the stored form of the permits.
func (p Permits) Encode() ([]byte, error) {
	data, err := encoding.Marshal(permitsRecord{Schema: schema, Next: p.nextLoad.UnixMilli(), Held: p.held})
	if err != nil {
		return nil, fmt.Errorf("encode permits: %w", err)
	}
	return data, nil
}

// DecodePermits decodes stored permits.
func DecodePermits(data []byte) (Permits, error) {
	var r permitsRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Permits{}, fmt.Errorf("decode permits: %w", err)
	}
	if r.Schema != schema {
		return Permits{}, fmt.Errorf("decode permits: %w: %d", ErrSchema, r.Schema)
	}
	return Permits{nextLoad: time.UnixMilli(r.Next), held: r.Held}, nil
}

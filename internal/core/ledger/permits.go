package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// ErrNoPermit means that the weight store's rate or number at once is used up.
var ErrNoPermit = errors.New("no permit of the weight store")

// Limits are what a region's weight store takes.
type Limits struct {
	// Rate is in loads a second, zero for no limit.
	Rate float64
	// MaxInFlight is the number of loads in flight, zero for no limit.
	MaxInFlight int
}

// interval returns the time between two loads.
func (l Limits) interval() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.Rate)
}

// Permit allows one load. It is held until the outcome was seen.
type Permit struct {
	Order      string           `cbor:"1,keyasint"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint"`
	// Lost marks a load that got no answer.
	Lost bool `cbor:"3,keyasint,omitempty"`
}

// Permits are the loads that a region's weight store is taking.
type Permits struct {
	nextLoad time.Time
	held []Permit
}

// PermitsKey returns the store's key of a region's permits.
func PermitsKey(region fleet.Region) string {
	return "weights/" + string(region)
}

// Held returns the permits.
func (p Permits) Held() []Permit { return slices.Clone(p.held) }

// Acquire returns the permits with one more, or ErrNoPermit. Lost loads never
// take the last place, so that a model can still be loaded.
func (p Permits) Acquire(now time.Time, limits Limits, permit Permit) (Permits, error) {
	interval := limits.interval()
	next := p.nextLoad
	if next.After(now.Add(interval)) {
		next = now // written by a clock that is ahead
	}
	if now.Before(next) {
		return p, fmt.Errorf("%w: next in %s", ErrNoPermit, next.Sub(now))
	}
	if limits.MaxInFlight > 0 && p.inUse(limits.MaxInFlight) >= limits.MaxInFlight {
		return p, fmt.Errorf("%w: %d at once", ErrNoPermit, limits.MaxInFlight)
	}
	p.nextLoad = now.Add(interval)
	p.held = append(slices.Clone(p.held), permit)
	return p, nil
}

func (p Permits) inUse(limit int) int {
	lost := 0
	for _, h := range p.held {
		if h.Lost {
			lost++
		}
	}
	return len(p.held) - lost + min(lost, limit-1)
}

// Reconcile returns the permits after a data centre told which of its own orders
// are still in flight, and which of these got no answer.
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

// permitsRecord is the stored form of permits. Next is in milliseconds since 1970.
type permitsRecord struct {
	Schema int      `cbor:"1,keyasint"`
	Next   int64    `cbor:"2,keyasint"`
	Held   []Permit `cbor:"3,keyasint"`
}

// Encode returns the stored form.
func (p Permits) Encode() ([]byte, error) {
	data, err := encoding.Marshal(permitsRecord{Schema: schema, Next: p.nextLoad.UnixMilli(), Held: p.held})
	if err != nil {
		return nil, fmt.Errorf("encode permits: %w", err)
	}
	return data, nil
}

// DecodePermits reads stored permits.
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

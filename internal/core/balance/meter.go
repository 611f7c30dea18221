package balance

import (
	"math"
	"time"
)

// Meter measures a rate with exponential decay of old arrivals.
type Meter struct {
	halfLife  time.Duration
	updatedAt time.Time
	sum       float64
}

// NewMeter returns a meter with the half-life after which an arrival counts half.
func NewMeter(halfLife time.Duration) *Meter { return &Meter{halfLife: halfLife} }

// Add records n arrivals.
func (m *Meter) Add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// Rate returns the arrivals per second.
func (m *Meter) Rate(now time.Time) float64 {
	m.decay(now)
	return m.sum * math.Ln2 / m.halfLife.Seconds()
}

func (m *Meter) decay(now time.Time) {
	if d := now.Sub(m.updatedAt); d > 0 && !m.updatedAt.IsZero() {
		m.sum *= math.Exp2(-d.Seconds() / m.halfLife.Seconds())
	}
	m.updatedAt = now
}

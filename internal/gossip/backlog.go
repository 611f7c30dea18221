package gossip

import (
	"math"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Backlog is how much work is scheduled at an endpoint.
type Backlog struct {
	_        struct{} `cbor:",toarray"`
	Endpoint fleet.Endpoint
	Work     BacklogWork
	Slowness Percent
}

// Prefix is a prompt up to the end of one of its parts: a key of it, and the tokens of that part.
type Prefix struct {
	_      struct{} `cbor:",toarray"`
	Key    uint64
	Tokens int
}

// Answer is what an answer has shown of an endpoint to the instance that got it.
type Answer struct {
	_        struct{} `cbor:",toarray"`
	Endpoint fleet.Endpoint
	Born     int64
	Ratio    Percent
	// LateMs is how much later than expected it came, DelayMs what the answer to its admission
	// said of the endpoint's delay.
	LateMs, DelayMs int32
}

// Percent is a factor in hundredths, 0 for what isn't given.
type Percent uint16

// NewPercent converts a factor to its form in messages.
func NewPercent(factor float64) Percent { return Percent(min(factor*100+0.5, math.MaxUint16)) }

// Factor returns the factor, 1 if it isn't given.
func (p Percent) Factor() float64 {
	if p == 0 {
		return 1
	}
	return float64(p) / 100
}

// BacklogWork is scheduled work by rank, in milliseconds. It is shorter than a map of durations.
type BacklogWork []uint16

// NewBacklogWork converts scheduled work to its form in messages.
func NewBacklogWork(w backlog.Work) BacklogWork {
	b := make(BacklogWork, len(w))
	for rank, d := range w {
		b[rank] = uint16(min((d+time.Millisecond/2)/time.Millisecond, math.MaxUint16))
	}
	return b
}

// Work returns the scheduled work. Ranks that the message lacks count as its last one.
func (b BacklogWork) Work() backlog.Work {
	var w backlog.Work
	for rank := range w {
		if len(b) > 0 {
			w[rank] = time.Duration(b[min(rank, len(b)-1)]) * time.Millisecond
		}
	}
	return w
}

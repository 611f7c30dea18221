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

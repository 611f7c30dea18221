// Package fairshare keeps the workspaces of one rank from being starved by those of another.
//
// Where work waits, ranks go first that operators have given to workspaces. A workspace that
// floods the endpoints at its full allotment could then leave nothing to those that rank below.
// Requests of a rank that is served far less often than all are treated as the most urgent ones
// until it is served again. Within a rank all workspaces are served equally often already.
//
// The package has no clock: callers pass the time.
package fairshare

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the counts.
	halfLife = 4 * time.Second
	// minRequests is how many requests of a rank must be counted before it is raised.
	minRequests = 5
	// raiseBelow is the part of the service of all below which a rank is raised.
	raiseBelow = 0.5
	// levels is the number of ranks that are counted; less urgent ones count as the last.
	levels = 10
)

type count struct{ requests, served float64 }

// Tracker counts the requests of one instance by the rank of their workspace. The zero value has
// counted nothing. It is not safe for concurrent use.
type Tracker struct {
	counts [levels]count
	at     time.Duration
}

func index(level int) int { return max(0, min(level, levels-1)) }

// Record counts the end of a request, and whether it was served.
func (t *Tracker) Record(now time.Duration, level int, served bool) {
	t.decay(now)
	c := &t.counts[index(level)]
	c.requests++
	if served {
		c.served++
	}
}

func (t *Tracker) decay(now time.Duration) {
	if now <= t.at {
		return
	}
	factor := math.Exp2(-float64(now-t.at) / float64(halfLife))
	for i := range t.counts {
		t.counts[i].requests *= factor
		t.counts[i].served *= factor
	}
	t.at = now
}

// Level returns the rank with which a request is to wait: its own, or the most urgent one while
// its rank is served too seldom.
func (t *Tracker) Level(now time.Duration, level int) int {
	t.decay(now)
	var all count
	for _, c := range t.counts {
		all.requests += c.requests
		all.served += c.served
	}
	c := t.counts[index(level)]
	if c.requests >= minRequests && c.served*all.requests < raiseBelow*all.served*c.requests {
		return 0
	}
	return level
}

package watcher

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstRetry is the delay after the first failed call.
	firstRetry = 200 * time.Millisecond
	// longestWatcherRetry limits the delays of an instance that watches or tries for others: they learn
	// by that much later that the store is back.
	longestWatcherRetry = time.Second
	// longestRetry limits the delays of the others, which get what they need from peers as well.
	longestRetry = 6 * time.Second
)

// Pace spaces out the calls with which a caller tries a store that doesn't answer. Delays grow and are
// spread, so that those who lost the store together don't come back together.
type Pace struct {
	name     string
	failures int
}

// NewPace returns the pace of a caller with a name of its own.
func NewPace(name string) *Pace { return &Pace{name: name} }

// Answered records a call that the store has answered.
func (p *Pace) Answered() { p.failures = 0 }

// Failed records a failed call and returns the delay before the next one. Watches is set if the
// instance calls the store for others.
func (p *Pace) Failed(watches bool) time.Duration {
	longest := longestRetry
	if watches {
		longest = longestWatcherRetry
	}
	delay := firstRetry
	for n := 0; n < p.failures && delay < longest; n++ {
		delay *= 2
	}
	p.failures++
	delay = min(delay, longest)
	part := xxhash.Sum64String(p.name+"/"+strconv.Itoa(p.failures)) % 1000
	return delay/2 + delay/2*time.Duration(part)/1000
}

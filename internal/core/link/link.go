// Package link finds from the delays of heartbeats which links between regions are full. It has no
// input, output or clock.
package link

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// window is over how long the least delay counts: heartbeats of a region arrive several times
	// meanwhile, also in a small fleet.
	window = time.Second
	// fullDelay is from what delay on a link counts as full: a third of the time without heartbeats
	// after which a peer is suspected.
	fullDelay = 300 * time.Millisecond
	// queueDelay is the least delay that shows a queue: more than the spread of sound links.
	queueDelay = 20 * time.Millisecond
)

// least is the least delay that was observed in a window.
type least struct {
	from  time.Time
	delay time.Duration
	ok    bool
}

func (l *least) add(delay time.Duration) {
	if !l.ok || delay < l.delay {
		l.delay, l.ok = delay, true
	}
}

// Tracker keeps the delays of the heartbeats of each region. It is not safe for concurrent use.
type Tracker struct {
	own     fleet.Region
	regions map[fleet.Region]*[2]least // the previous window and the current one
}

// NewTracker returns a tracker of an instance in a region.
func NewTracker(own fleet.Region) *Tracker {
	return &Tracker{own: own, regions: make(map[fleet.Region]*[2]least)}
}

// Observe records by how much a heartbeat took longer than the quickest one of its sender.
func (t *Tracker) Observe(now time.Time, region fleet.Region, delay time.Duration) {
	w := t.regions[region]
	if w == nil {
		w = &[2]least{1: {from: now}}
		t.regions[region] = w
	}
	if now.Sub(w[1].from) >= window {
		w[0], w[1] = w[1], least{from: now}
	}
	w[1].add(delay)
}

// Delay returns the least delay of a region's heartbeats over one to two windows. ok is false if none
// have arrived. The least one is that of the link: a single sender may be slow for its own reasons.
func (t *Tracker) Delay(now time.Time, region fleet.Region) (delay time.Duration, ok bool) {
	w := t.regions[region]
	if w == nil {
		return 0, false
	}
	var l least
	for i := range w {
		if w[i].ok && now.Sub(w[i].from) < 2*window {
			l.add(w[i].delay)
		}
	}
	return l.delay, l.ok
}

// Full returns the regions from which the link is full, with their delays. It answers the load of a link
// that carries prompts and repeated requests beside heartbeats, watches and leases, which then wait
// behind them. What the heartbeats of the own region take longer is this instance's own delay.
func (t *Tracker) Full(now time.Time) map[fleet.Region]time.Duration {
	return t.longer(now, fullDelay)
}

// Queues returns how long what is sent over the link to each region waits, those where it does.
func (t *Tracker) Queues(now time.Time) map[fleet.Region]time.Duration {
	return t.longer(now, queueDelay)
}

// longer returns the regions whose heartbeats take longer than those of the own region by a delay or more.
func (t *Tracker) longer(now time.Time, than time.Duration) map[fleet.Region]time.Duration {
	all := make(map[fleet.Region]time.Duration)
	own, _ := t.Delay(now, t.own)
	for region := range t.regions {
		if delay, ok := t.Delay(now, region); ok && region != t.own && delay-own >= than {
			all[region] = delay - own
		}
	}
	return all
}

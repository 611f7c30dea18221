// Package path decides how an instance connects to endpoints: directly, or through a peer while only
// its own path to them is cut. It is given the outcomes of connects and has no input or output.
package path

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Way is how to connect to an endpoint.
type Way string

// The ways to connect.
const (
	// Direct: directly, and through a peer if that fails or takes long.
	Direct Way = "direct"
	// Both: both at once, as the direct path may be cut.
	Both Way = "both"
	// Relay: through a peer, and directly if none can help.
	Relay Way = "relay"
	// Alone: directly only, as peers don't reach the endpoint either.
	Alone Way = "alone"
)

const (
	// outcomeRetention is how long the outcome of a connect counts for the state of a path.
	outcomeRetention = 2 * time.Second
	// peersRetention is how long peers are not asked again for an endpoint that they don't reach.
	peersRetention = time.Second
	// lostRetention is how long an endpoint that could not be reached counts as lost.
	lostRetention = 10 * time.Second
	// minCutPaths is how many paths must be cut for an instance to count as cut off.
	minCutPaths = 2
	// minDoubtfulPaths is how many connects must fail before the instance's own path is doubted:
	// fewer endpoints may well end at once.
	minDoubtfulPaths = 4
	// checkInterval is how often a path that is cut is tried again, maxChecks how many of them at once.
	checkInterval = time.Second
	maxChecks     = 32
)

// Table holds the state of the paths to endpoints. It is not safe for concurrent use.
type Table struct {
	paths map[fleet.Endpoint]*path
}

// path is the path to one endpoint.
type path struct {
	// cut is set while the endpoint is reached through a peer only.
	cut bool
	// failedAt is when a direct connect, or a question over an open connection, last failed,
	// worked when one was last established.
	failedAt, workedAt time.Time
	// answeredAt is when the endpoint last answered while its path was not known to be cut.
	answeredAt time.Time
	// refusedAt and unreachedAt are when peers last found that nothing listens there, or didn't
	// reach it.
	refusedAt, unreachedAt time.Time
	checkAt                time.Time // when to try the direct path again
}

// NewTable returns a table in which no path is known to be cut.
func NewTable() *Table { return &Table{paths: make(map[fleet.Endpoint]*path)} }

func (t *Table) path(id fleet.Endpoint) *path {
	p := t.paths[id]
	if p == nil {
		p = new(path)
		t.paths[id] = p
	}
	return p
}

func recent(now, at time.Time, retention time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < retention
}

// Way returns how to connect to an endpoint.
func (t *Table) Way(now time.Time, id fleet.Endpoint) Way {
	p := t.paths[id]
	switch {
	case p != nil && (recent(now, p.refusedAt, peersRetention) || recent(now, p.unreachedAt, peersRetention)):
		return Alone
	case p != nil && p.cut:
		return Relay
	case p != nil && recent(now, p.failedAt, outcomeRetention), t.CutOff(now):
		return Both
	default:
		return Direct
	}
}

// Failed records that a direct connect, or a question over an open connection, has failed.
func (t *Table) Failed(now time.Time, id fleet.Endpoint) { t.path(id).failedAt = now }

// Worked records that a direct connect was established. It reports whether the path was cut before.
func (t *Table) Worked(now time.Time, id fleet.Endpoint) (healed bool) {
	p := t.path(id)
	healed = p.cut
	*p = path{workedAt: now}
	return healed
}

// Answered records an answer of an endpoint. One that came through a peer shows nothing of the path.
func (t *Table) Answered(now time.Time, id fleet.Endpoint) {
	if p := t.path(id); !p.cut {
		p.answeredAt = now
	}
}

// Relayed records that a peer has connected to an endpoint while no direct connect was established.
// It reports whether this shows that the instance is cut off.
func (t *Table) Relayed(now time.Time, id fleet.Endpoint) (cutOff bool) {
	before := t.CutOff(now)
	p := t.path(id)
	p.unreachedAt = time.Time{}
	if !p.cut {
		p.cut, p.checkAt = true, now.Add(checkInterval)
	}
	return !before && t.CutOff(now)
}

// RefusedThere records that nothing listens at an endpoint's address when a peer connects to it.
func (t *Table) RefusedThere(now time.Time, id fleet.Endpoint) {
	p := t.path(id)
	p.cut, p.refusedAt = false, now
}

// UnreachedThere records that peers don't reach an endpoint.
func (t *Table) UnreachedThere(now time.Time, id fleet.Endpoint) { t.path(id).unreachedAt = now }

// Lost reports whether neither a direct connect nor a peer has reached an endpoint for up to lostRetention.
// A connect to it is unlikely to succeed, however long it takes.
func (t *Table) Lost(now time.Time, id fleet.Endpoint) bool {
	p := t.paths[id]
	return p != nil && recent(now, p.unreachedAt, lostRetention)
}

// ConfirmedRefused reports whether a peer's connect to an endpoint was refused within peersRetention.
func (t *Table) ConfirmedRefused(now time.Time, id fleet.Endpoint) bool {
	p := t.paths[id]
	return p != nil && recent(now, p.refusedAt, peersRetention)
}

// CutOff reports whether the instance is cut off from endpoints that its peers reach: from several,
// and from more than it has lately connected to.
func (t *Table) CutOff(now time.Time) bool {
	cut, working := 0, 0
	for _, p := range t.paths {
		switch {
		case p.cut:
			cut++
		case recent(now, p.workedAt, outcomeRetention):
			working++
		}
	}
	return cut >= minCutPaths && cut > working
}

// Doubtful reports whether direct connects to so many of the listed endpoints fail that the
// instance's own path is a likelier reason than the endpoints. Failures before the last answer or
// connect of an endpoint behind the same path don't count: that path was sound then, as it is when
// one request after another crashes most endpoints within seconds.
func (t *Table) Doubtful(now time.Time, listed int, samePath func(fleet.Endpoint) bool) bool {
	var sound time.Time
	for id, p := range t.paths {
		if last := p.lastSound(); last.After(sound) && samePath(id) {
			sound = last
		}
	}
	failing := 0
	for _, p := range t.paths {
		if p.cut || recent(now, p.failedAt, outcomeRetention) && !p.workedAt.After(p.failedAt) && p.failedAt.After(sound) {
			failing++
		}
	}
	return failing >= max(minDoubtfulPaths, (listed+1)/2)
}

// lastSound returns when the endpoint last answered or was connected to directly.
func (p *path) lastSound() time.Time {
	if p.answeredAt.After(p.workedAt) {
		return p.answeredAt
	}
	return p.workedAt
}

// Cut returns how many endpoints are reached through peers only.
func (t *Table) Cut() int {
	n := 0
	for _, p := range t.paths {
		if p.cut {
			n++
		}
	}
	return n
}

// Checks returns the endpoints whose direct path is due to be tried again.
func (t *Table) Checks(now time.Time) []fleet.Endpoint {
	var due []fleet.Endpoint
	for id, p := range t.paths {
		if p.cut && !now.Before(p.checkAt) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b fleet.Endpoint) int { return t.paths[a].checkAt.Compare(t.paths[b].checkAt) })
	due = due[:min(len(due), maxChecks)]
	for _, id := range due {
		t.paths[id].checkAt = now.Add(checkInterval)
	}
	return due
}

// Keep forgets the paths to endpoints that are not live, and those of which nothing recent is known.
func (t *Table) Keep(now time.Time, live map[fleet.Endpoint]int64) {
	for id, p := range t.paths {
		_, ok := live[id]
		known := p.cut || recent(now, p.failedAt, outcomeRetention) || recent(now, p.lastSound(), outcomeRetention) ||
			recent(now, p.refusedAt, peersRetention) || recent(now, p.unreachedAt, lostRetention)
		if !ok || !known {
			delete(t.paths, id)
		}
	}
}

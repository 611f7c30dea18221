// Package backlog predicts how much work is scheduled at each endpoint, from what the one instance
// that schedules it, its owner, has reported and from what this instance has sent there since.
//
// It answers the load of many instances that send to the same endpoints at the same moment: each
// endpoint's schedule is exact at its owner, and a report of it needs no call of its own, since it
// comes with the answers to admissions and with heartbeats.
//
// The package has no clock and no goroutine: callers pass the time.
package backlog

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Ranks is the number of ranks with a backlog of their own; less urgent ones count as the last.
const Ranks = 3

// Work is how long the scheduled work of an endpoint takes that is at least as urgent as each rank.
type Work [Ranks]time.Duration

// Report is the backlog of an endpoint as its owner had it.
type Report struct {
	Work Work
	// At is when the owner had it, by the clock of this instance. Work that was sent after Sent is
	// not in it.
	At, Sent time.Time
	// Slowness is how much longer the endpoint takes than the usual one, 0 if it takes as long.
	Slowness float64
}

// maxUnreported bounds the requests that are remembered beside a report.
const maxUnreported = 64

// sending is work that this instance has sent.
type sending struct {
	at    time.Time
	level int
	work  time.Duration
}

// endpoint is what is recorded of one endpoint.
type endpoint struct {
	report Report
	// unreported is the work that the report doesn't include, in order.
	unreported []sending
}

// Table holds the newest report of each endpoint. It is not safe for concurrent use.
type Table struct {
	endpoints map[fleet.Endpoint]*endpoint
	// listedAt is when each owner last reported all its endpoints that have a backlog.
	listedAt map[fleet.Instance]time.Time
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{endpoints: make(map[fleet.Endpoint]*endpoint), listedAt: make(map[fleet.Instance]time.Time)}
}

func (t *Table) endpoint(id fleet.Endpoint) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = new(endpoint)
		t.endpoints[id] = e
	}
	return e
}

// Record keeps a report unless a newer one of the endpoint is known.
func (t *Table) Record(id fleet.Endpoint, r Report) {
	e := t.endpoint(id)
	if r.At.Before(e.report.At) {
		return
	}
	e.report = r
	e.forget(r.Sent)
}

// RecordOwner notes that an owner has reported all its endpoints, as of a time, that have a backlog
// or are slow. The reports themselves are recorded one by one.
func (t *Table) RecordOwner(owner fleet.Instance, at time.Time) {
	if at.After(t.listedAt[owner]) {
		t.listedAt[owner] = at
	}
}

// Send records work that this instance sends to an endpoint.
func (t *Table) Send(now time.Time, id fleet.Endpoint, level int, work time.Duration) {
	e := t.endpoint(id)
	if e.unreported = append(e.unreported, sending{now, min(level, Ranks-1), work}); len(e.unreported) > maxUnreported {
		e.unreported = e.unreported[1:]
	}
}

// forget drops the work that was sent up to a time.
func (e *endpoint) forget(sent time.Time) {
	for len(e.unreported) > 0 && !e.unreported[0].at.After(sent) {
		e.unreported = e.unreported[1:]
	}
}

// Ahead returns how long the work takes that is ahead of a request of a rank at an endpoint of an
// owner, and how old the report is. ok is false if the owner hasn't reported.
func (t *Table) Ahead(now time.Time, id fleet.Endpoint, owner fleet.Instance, level int) (ahead, age time.Duration, ok bool) {
	rank := min(level, Ranks-1)
	e, heard := t.endpoints[id], t.listedAt[owner]
	if e == nil {
		return 0, now.Sub(heard), !heard.IsZero()
	}
	at, until := e.report.At, e.report.At.Add(e.report.Work[rank])
	if heard.After(at) { // the owner has not listed it since
		at, until = heard, heard
	}
	ok = !at.IsZero()
	for _, s := range e.unreported {
		switch {
		case s.level > rank || s.at.Before(at.Add(-maxWay)):
		case until.Before(s.at):
			until = s.at.Add(s.work)
		default:
			until = until.Add(s.work)
		}
	}
	return max(0, until.Sub(now)), now.Sub(at), ok
}

// Slowness returns how much longer an endpoint of an owner takes than the usual one. An old report
// counts less and less.
func (t *Table) Slowness(now time.Time, id fleet.Endpoint, owner fleet.Instance) float64 {
	e := t.endpoints[id]
	if e == nil || e.report.Slowness <= 1 || t.listedAt[owner].After(e.report.At) {
		return 1
	}
	faded := min(1, float64(max(0, now.Sub(e.report.At)-slownessFade))/float64(slownessFade))
	return 1 + (e.report.Slowness-1)*(1-faded)
}

// slownessFade is the age of a report from which on its slowness counts less; at twice that it
// doesn't count.
const slownessFade = 2 * time.Second

// maxWay is the longest way of a request from the instance that sends it to the owner.
const maxWay = 30 * time.Millisecond

// Expire drops what is older than a time.
func (t *Table) Expire(before time.Time) {
	for id, e := range t.endpoints {
		e.forget(before)
		if e.report.At.Before(before) && len(e.unreported) == 0 {
			delete(t.endpoints, id)
		}
	}
	for owner, at := range t.listedAt {
		if at.Before(before) {
			delete(t.listedAt, owner)
		}
	}
}

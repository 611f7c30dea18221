package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

const (
	// minUncertainty is the least age of what is known of a backlog: how long an admission takes,
	// during which others are decided.
	minUncertainty = 20 * time.Millisecond
	// maxUncertainty is the age from which on a backlog counts as unknown.
	maxUncertainty = 2500 * time.Millisecond
	// expectedLoad is the part of the time in which endpoints get new work.
	expectedLoad = 0.5
)

// Backlogs are the schedules of the endpoints, and their speeds.
type Backlogs interface {
	// Ahead returns how long the scheduled work takes that is as urgent as level, and how old the
	// knowledge of it is.
	Ahead(e *roster.Endpoint, level int) (ahead, age time.Duration)
	// Slowness returns how much longer an endpoint takes than the usual one.
	Slowness(e *roster.Endpoint) float64
}

// candidate is an endpoint that could be chosen.
type candidate struct {
	Choice
	// distance counts what sets it apart from the best placed endpoints: another region, or an
	// adapter to load.
	distance int
	// weight is the share of requests that the endpoint gets.
	weight float64
}

// Spread draws an endpoint, given the backlogs that the owners have reported. It answers the load
// of many instances that choose at the same moment by the same old reports: the shorter an
// endpoint's predicted wait, the more of them choose it, in proportion to the work that the
// endpoints can take until the next report. The least wait alone would be chosen by all of them.
//
// A prompt that shares a prefix with others goes to the endpoint that has the prefix, unless the
// backlog there costs more than reading the prefix again.
func (b *Balancer) Spread(now time.Time, a *Request, group *catalog.Group, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region, backlogs Backlogs, random float64) (Choice, Missing) {
	all, missing := b.candidates(now, a, group, endpoints, regions, backlogs)
	if len(all) == 0 {
		if first := firstDeferred(now, a, endpoints); first != nil && missing == MissingModel {
			return Choice{Endpoint: first, Wait: first.DeferredFor(now)}, MissingRate
		}
		return Choice{}, missing
	}
	mean := weigh(all, MaxWait(a))
	preferred := preferredEndpoint(now, a, endpoints, regions)
	for i := range all {
		if c := all[i].Choice; c.Endpoint.ID == preferred {
			c.Wait -= b.sharedPrefillTime(a, preferred)
			if c.Wait <= mean {
				return c, MissingNone
			}
		}
	}
	return draw(all, random), MissingNone
}

// candidates returns the endpoints that could take a request, suspect ones only if there is no other.
func (b *Balancer) candidates(now time.Time, a *Request, group *catalog.Group, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region, backlogs Backlogs) ([]candidate, Missing) {
	var all, suspects []candidate
	missing := MissingModel
	for _, e := range endpoints {
		if !eligible(now, e, a) {
			continue
		}
		ahead, age := backlogs.Ahead(e, a.Level)
		running := max(b.ownLoads[e.ID].Running, e.Report.Running+e.Report.Queued)
		c, ok := b.predict(now, e, a, group, regions, expected{ahead: ahead, running: running, slowness: backlogs.Slowness(e)})
		if !ok {
			missing = MissingAdapter
			continue
		}
		next := candidate{Choice: c}
		next.Age = min(max(age, minUncertainty), maxUncertainty)
		if regions[e.DataCentre] != a.Place.Region {
			next.distance++
		}
		if c.LoadAdapter {
			next.distance++
		}
		if e.Suspect(now) {
			suspects = append(suspects, next)
		} else {
			all = append(all, next)
		}
	}
	if len(all) == 0 {
		all = suspects
	}
	return all, missing
}

// weigh sets the weights of endpoints and returns the mean predicted wait of the requests that
// they are for. Since the last reports, the best placed endpoints have been sent an expected amount
// of work: it fills the shortest backlogs up to a common level. Others take what is
// above a level of their own, which is higher by what may have come there since. An endpoint with
// a wait over the limit gets nothing while another is below.
func weigh(all []candidate, limit time.Duration) time.Duration {
	nearest := slices.MinFunc(all, func(x, y candidate) int { return cmp.Compare(x.distance, y.distance) }).distance
	shortest := slices.MinFunc(all, func(x, y candidate) int { return cmp.Compare(x.Wait, y.Wait) }).Wait
	level := fillLevel(all, nearest)
	total, mean := 0.0, 0.0
	for i := range all {
		c := &all[i]
		wait := c.Wait
		if c.distance > nearest {
			wait += c.Age
		}
		if c.weight = max(0, (level - wait).Seconds()); c.Wait > max(limit, shortest) {
			c.weight = 0
		}
		total += c.weight
		mean += c.weight * float64(c.Wait)
	}
	if total == 0 {
		return shortest
	}
	return time.Duration(mean / total)
}

// fillLevel returns the wait up to which work fills the nearest endpoints.
func fillLevel(all []candidate, nearest int) time.Duration {
	var waits []time.Duration
	var room time.Duration
	for i := range all {
		if all[i].distance == nearest {
			waits = append(waits, all[i].Wait)
			room += time.Duration(expectedLoad * float64(all[i].Age))
		}
	}
	slices.Sort(waits)
	level, filled := time.Duration(0), room
	for i, wait := range waits {
		if i > 0 && level <= wait {
			break
		}
		filled += wait
		level = filled / time.Duration(i+1)
	}
	return level
}

// draw returns one of the endpoints by their weights, the shortest wait if none has a weight. The
// point is in [0, 1).
func draw(all []candidate, point float64) Choice {
	total := 0.0
	for i := range all {
		total += all[i].weight
	}
	point *= total
	for i := range all {
		if point -= all[i].weight; point < 0 {
			return all[i].Choice
		}
	}
	return slices.MinFunc(all, func(x, y candidate) int { return cmp.Compare(x.Wait, y.Wait) }).Choice
}

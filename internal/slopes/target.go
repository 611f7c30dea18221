package slopes

import (
	"cmp"

	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/placer"
)

// Target is the fleet to be carried.
type Target struct {
	Instances float64
	Runners   float64
	Models    float64
	Centres   float64
	Changes   float64 // of the document, a day
	Failures  float64 // of instances, a day
	Restarts  float64 // of instances, a day
	Requests  float64 // a second at the peak
	Once      float64 // share of requests that may run once only
}

// Budget is what one node may spend on control.
type Budget struct {
	CPU    float64 // of one core
	Memory float64 // B
	Bytes  float64 // B a second
}

// TwoYears returns the target of letter 1. The share of requests that may run once only
// is not stated there; one in twenty is taken.
func TwoYears() (Target, Budget) {
	return Target{
		Instances: 420, Runners: 6600, Models: 760, Centres: 11,
		Changes: 3900, Failures: 82, Restarts: 510, Requests: 4400, Once: 0.05,
	}, Budget{CPU: 0.02, Memory: 32e6, Bytes: 26e3}
}

// Today returns one of today's fleets.
func Today() Target {
	return Target{
		Instances: 9, Runners: 21, Models: 34, Centres: 3,
		Changes: 10, Failures: 2, Restarts: 10, Requests: 14, Once: 0.05,
	}
}

const (
	secondsADay = 86400
	// beatRate, exchangePeriod, probeRate and sweepRate are those of the node's defaults.
	beatRate       = 1.0                                   // a second
	exchangePeriod = 2.0                                   // seconds
	probeRate      = 0.5                                   // a second
	sweepRate      = 20.0                                  // a second
	watchPeriod    = 30.0                                  // seconds of one waiting call
	leaseRenewals  = 0.3                                   // a second for each lease
	planShare      = 1.0 / (placer.PlanIntervalFactor + 1) // of one core
	watchersEach   = 2.0
	collector      = 2.0 // heap that the collector lets grow, as a multiple of what lives
)

// The roles, and the kinds of calls to the platform's service.
const (
	roleEntry      = "entry"
	roleDispatcher = "dispatcher"
	rolePlacer     = "placer"
	roleWatcher    = "watcher"
	roleSpeaker    = "speaker"

	kindRead  = "read"
	kindWrite = "write"
)

// The costs that a change of design would lower.
const (
	whatConnections = "connections inside the data centre"
	whatBeats       = "heartbeats with loads on open streams, to 12 peers a round at most"
	whatDirectory   = "directory of the data centre's endpoints"
	whatList        = "platform's list, instances and own endpoints, as differences"
	whatTotals      = "totals of the other data centres, in heartbeats of their first speakers"
	whatDocument    = "profile document, the whole text for each change"
	whatProbes      = "probes of own endpoints, every 2 s"
	whatEnds        = "ends of claims, gathered for 10 s at each instance"
)

// Row is the cost of one role at the target.
type Row struct {
	Role  string
	What  string
	CPU   float64 // of one core
	Bytes float64 // B a second, both directions
	Heap  float64 // B that live
}

// estimate works with the measured series; the first missing one is kept as the error.
type estimate struct {
	report *Report
	err    error
}

func (e *estimate) at(name string, size float64) float64 {
	series, err := e.report.Series(name)
	if err != nil {
		e.err = cmp.Or(e.err, err)
		return 0
	}
	return series.At(size)
}

// cpu is the share of a core of something that takes a cost in ns at a rate a second.
func (e *estimate) cpu(name string, size, rate float64) float64 {
	return e.at(name, size) * rate / 1e9
}

// Rows returns the cost of each role at a target.
func (r *Report) Rows(t Target) ([]Row, error) {
	e := &estimate{report: r}
	near := t.Instances / t.Centres
	endpoints := t.Runners / t.Centres
	own := t.Runners / t.Instances
	rows := append(e.everyNode(t, near, endpoints, own), e.roles(t, near, endpoints)...)
	return rows, e.err
}

// everyNode are the roles that all instances have.
func (e *estimate) everyNode(t Target, near, endpoints, own float64) []Row {
	peers := near - 1
	beaten := min(peers, member.DefaultFanout)
	turnover := listChanges(t)
	rowsOfList := t.Instances + endpoints
	changes := t.Changes / secondsADay
	return []Row{
		{
			Role: roleEntry, What: "view of all instances, a round a second",
			CPU: e.cpu("view round cpu", t.Instances, beatRate), Heap: e.at("view memory", t.Instances),
		},
		{
			Role: roleEntry, What: whatConnections,
			Heap: e.at("connection memory", peers),
		},
		{
			Role: roleEntry, What: whatBeats,
			CPU: e.cpu("beat cpu", own, beaten*beatRate), Bytes: 2 * e.at("beat bytes", own) * beaten * beatRate,
		},
		{
			Role: roleEntry, What: whatDirectory,
			CPU: e.cpu("directory report cpu", endpoints, endpoints*beatRate*beaten/peers), Heap: e.at("directory memory", endpoints),
		},
		{
			Role: roleEntry, What: "choice of endpoint and dispatcher, peak requests",
			CPU: e.cpu("route cpu", 2*copiesEach, t.Requests/t.Instances) + e.cpu("dispatcher choice cpu", t.Instances, t.Requests/t.Instances),
		},
		{
			Role: roleEntry, What: whatList,
			CPU: e.cpu("list difference cpu", rowsOfList, turnover), Heap: e.at("list memory", rowsOfList),
			Bytes: (e.at("list difference bytes", rowsOfList) + 2*e.at("beat bytes", 0)) * turnover,
		},
		{
			Role: roleEntry, What: whatDocument,
			CPU:   e.cpu("difference cpu", t.Models, changes) + e.cpu("document parse cpu", t.Models, changes),
			Bytes: e.at("document bytes", t.Models) * changes, Heap: 2*e.at("document memory", t.Models) + e.at("document bytes", t.Models),
		},
		e.totalsTaken(t),
		{
			Role: roleDispatcher, What: "queues and actors of own endpoints, swept 20 times a second",
			CPU: e.cpu("dispatcher sweep cpu", own, sweepRate), Heap: e.at("dispatcher memory", own),
		},
		{
			Role: roleDispatcher, What: whatProbes,
			CPU: e.cpu("probe cpu", copiesEach, own*probeRate), Bytes: e.at("probe bytes", copiesEach) * own * probeRate,
		},
		{Role: roleDispatcher, What: "suspects, full book", Heap: e.at("suspect memory", 4096)},
		{
			Role: roleDispatcher, What: "claims of own endpoints",
			CPU: 2 * e.at("claim cpu a second", t.Requests*t.Once/t.Instances) / 1e9,
		},
	}
}

// roles are what few instances do on top.
func (e *estimate) roles(t Target, near, endpoints float64) []Row {
	return append(append(e.placer(endpoints), []Row{
		{
			Role: roleWatcher, What: "platform's list, own rows, waiting for changes",
			Bytes: e.watched(t, endpoints),
		},
		{
			Role: roleWatcher, What: "document handed to half of the data centre",
			Bytes: e.at("document bytes", t.Models) * t.Changes / secondsADay * near / watchersEach,
		},
	}...), e.speaker(t)...)
}

// placer is what the placer of a data centre does on top, where nothing moves.
func (e *estimate) placer(endpoints float64) []Row {
	reads := endpoints / placer.DefaultStateMaxAge.Seconds()
	return []Row{
		{
			Role: rolePlacer, What: "planner of a data centre, a small part of the time at most",
			CPU: planShare, Heap: 2 * e.at("plan memory", endpoints),
		},
		{
			Role: rolePlacer, What: "states of quiet endpoints, each every 2 min",
			CPU: e.cpu("probe cpu", copiesEach, reads), Bytes: e.at("probe bytes", copiesEach) * reads,
		},
	}
}

// watched is what a watcher reads of the platform's list: the instances at each of their
// changes, and everything at the end of each wait.
func (e *estimate) watched(t Target, endpoints float64) float64 {
	instances := e.at("list read bytes", t.Instances)
	return instances*listChanges(t) + (instances+e.at("list read bytes", endpoints))/listing.WatchTimeout.Seconds()
}

// listChanges is how often a row of an instance changes, a second: each goes and comes.
func listChanges(t Target) float64 {
	return (t.Failures + t.Restarts) * 2 / secondsADay
}

// StoreCall is a rate of one kind of call to the platform's service.
type StoreCall struct {
	What string
	Kind string
	Rate float64 // a second, whole fleet
}

// Store returns the calls to the platform's service at a target.
func (r *Report) Store(t Target) ([]StoreCall, error) {
	e := &estimate{report: r}
	claims := t.Requests * t.Once
	watching := t.Centres * watchersEach
	calls := []StoreCall{
		{"watch of the document", kindRead, watching / watchPeriod},
		{"document read again after each change", kindRead, watching * t.Changes / secondsADay},
		{"platform's list, instances and one service", kindRead, watching * (2/listing.WatchTimeout.Seconds() + listChanges(t))},
		{"apply of a document", kindWrite, t.Changes / secondsADay},
		{"placer leases renewed", kindWrite, t.Centres * leaseRenewals},
		{"claims, one write each", kindWrite, claims},
		{whatEnds, kindWrite, t.Instances * e.at("end writes a second", claims/t.Instances)},
		{"sweep of claims, a shard a call, by each placer", kindWrite, t.Centres * float64(once.ShardsFor(int(t.Instances))) / once.DefaultRetention.Seconds()},
	}
	return calls, e.err
}

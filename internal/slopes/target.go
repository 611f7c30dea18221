package slopes

import (
	"cmp"

	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/placer"
)

// Target is the size and the load of a fleet.
type Target struct {
	Instances float64
	Runners   float64
	Models    float64
	Centres   float64
	Changes   float64 // document changes per day
	Failures  float64 // instance failures per day
	Restarts  float64 // instance restarts per day
	Requests  float64 // per second at the peak
	OnceShare float64 // share of requests that may run only once
}

// Budget is what one instance may spend on the control plane.
type Budget struct {
	CPU    float64 // of one core
	Memory float64 // B
	Bytes  float64 // B per second
}

// TwoYearTarget returns the required fleet in two years and the budget of an instance. The
// requirements don't state the share of requests that may run only once; 1 in 20 is assumed.
func TwoYearTarget() (Target, Budget) {
	return Target{
		Instances: 420, Runners: 6600, Models: 760, Centres: 11,
		Changes: 3900, Failures: 82, Restarts: 510, Requests: 4400, OnceShare: 0.05,
	}, Budget{CPU: 0.02, Memory: 32e6, Bytes: 26e3}
}

// Today returns the size of one of the current fleets.
func Today() Target {
	return Target{
		Instances: 9, Runners: 21, Models: 34, Centres: 3,
		Changes: 10, Failures: 2, Restarts: 10, Requests: 14, OnceShare: 0.05,
	}
}

const (
	secondsPerDay = 86400
	// heartbeatRate, exchangePeriod, probeRate and sweepRate are the defaults of an instance.
	heartbeatRate     = 1.0                                   // per second
	exchangePeriod    = 2.0                                   // seconds
	probeRate         = 0.5                                   // per second
	sweepRate         = 20.0                                  // per second
	watchPeriod       = 30.0                                  // seconds that one blocking query waits
	leaseRenewals     = 0.3                                   // per second and lease
	planCPUShare      = 1.0 / (placer.PlanIntervalFactor + 1) // of one core
	watchersPerCentre = 2.0
	defaultHeapFactor = 2.0 // heap that the garbage collector allows, as a multiple of the live heap
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

// The names of the costs that a design change would lower.
const (
	whatConnections = "connections inside the data centre"
	whatHeartbeats  = "heartbeats with loads on open streams, to 12 peers a round at most"
	whatDirectory   = "directory of the data centre's endpoints"
	whatList        = "platform's list, instances and own endpoints, as deltas"
	whatTotals      = "totals of the other data centres, in heartbeats of their first speakers"
	whatDocument    = "profile document, the complete text for each change"
	whatProbes      = "probes of own endpoints, every 2 s"
	whatClaimEnds   = "claim ends, batched for 10 s at each instance"
)

// Row is the cost of one role at the target.
type Row struct {
	Role  string
	What  string
	CPU   float64 // of one core
	Bytes float64 // B per second, both directions
	Heap  float64 // B of live heap
}

// estimate computes costs from the measured series. err is the first missing series.
type estimate struct {
	report *Report
	err    error
}

func (e *estimate) costAt(name string, size float64) float64 {
	series, err := e.report.Series(name)
	if err != nil {
		e.err = cmp.Or(e.err, err)
		return 0
	}
	return series.At(size)
}

// cpuShare returns the share of a core that runs of the work in a series take at a rate per
// second. The series must be in ns.
func (e *estimate) cpuShare(name string, size, rate float64) float64 {
	return e.costAt(name, size) * rate / 1e9
}

// Rows returns the cost of each role at a target.
func (r *Report) Rows(t Target) ([]Row, error) {
	e := &estimate{report: r}
	instancesPerCentre := t.Instances / t.Centres
	endpoints := t.Runners / t.Centres
	ownEndpoints := t.Runners / t.Instances
	rows := append(e.instanceRows(t, instancesPerCentre, endpoints, ownEndpoints), e.roleRows(t, instancesPerCentre, endpoints)...)
	return rows, e.err
}

// instanceRows returns the costs of the roles that all instances have.
func (e *estimate) instanceRows(t Target, instancesPerCentre, endpoints, ownEndpoints float64) []Row {
	peers := instancesPerCentre - 1
	heartbeatPeers := min(peers, member.DefaultFanout)
	listChangesPerSecond := listChangeRate(t)
	listRows := t.Instances + endpoints
	documentChangesPerSecond := t.Changes / secondsPerDay
	return []Row{
		{
			Role: roleEntry, What: "view of all instances, a round a second",
			CPU: e.cpuShare("view round cpu", t.Instances, heartbeatRate), Heap: e.costAt("view memory", t.Instances),
		},
		{
			Role: roleEntry, What: whatConnections,
			Heap: e.costAt("connection memory", peers),
		},
		{
			Role: roleEntry, What: whatHeartbeats,
			CPU: e.cpuShare("heartbeat cpu", ownEndpoints, heartbeatPeers*heartbeatRate), Bytes: 2 * e.costAt("heartbeat bytes", ownEndpoints) * heartbeatPeers * heartbeatRate,
		},
		{
			Role: roleEntry, What: whatDirectory,
			CPU: e.cpuShare("directory report cpu", endpoints, endpoints*heartbeatRate*heartbeatPeers/peers), Heap: e.costAt("directory memory", endpoints),
		},
		{
			Role: roleEntry, What: "choice of endpoint and dispatcher, peak requests",
			CPU: e.cpuShare("route cpu", 2*modelsPerEndpoint, t.Requests/t.Instances) + e.cpuShare("dispatcher choice cpu", t.Instances, t.Requests/t.Instances),
		},
		{
			Role: roleEntry, What: whatList,
			CPU: e.cpuShare("list delta cpu", listRows, listChangesPerSecond), Heap: e.costAt("list memory", listRows),
			Bytes: (e.costAt("list delta bytes", listRows) + 2*e.costAt("heartbeat bytes", 0)) * listChangesPerSecond,
		},
		{
			Role: roleEntry, What: whatDocument,
			CPU:   e.cpuShare("document delta cpu", t.Models, documentChangesPerSecond) + e.cpuShare("document parse cpu", t.Models, documentChangesPerSecond),
			Bytes: e.costAt("document bytes", t.Models) * documentChangesPerSecond, Heap: 2*e.costAt("document memory", t.Models) + e.costAt("document bytes", t.Models),
		},
		e.totalsRow(t),
		{
			Role: roleDispatcher, What: "queues and actors of own endpoints, swept 20 times a second",
			CPU: e.cpuShare("dispatcher sweep cpu", ownEndpoints, sweepRate), Heap: e.costAt("dispatcher memory", ownEndpoints),
		},
		{
			Role: roleDispatcher, What: whatProbes,
			CPU: e.cpuShare("probe cpu", modelsPerEndpoint, ownEndpoints*probeRate), Bytes: e.costAt("probe bytes", modelsPerEndpoint) * ownEndpoints * probeRate,
		},
		{Role: roleDispatcher, What: "suspects, full tracker", Heap: e.costAt("suspect memory", 4096)},
		{
			Role: roleDispatcher, What: "claims of own endpoints",
			CPU: 2 * e.costAt("claim cpu a second", t.Requests*t.OnceShare/t.Instances) / 1e9,
		},
	}
}

// roleRows returns the additional costs of the roles that few instances have.
func (e *estimate) roleRows(t Target, instancesPerCentre, endpoints float64) []Row {
	return append(append(e.placerRows(endpoints), []Row{
		{
			Role: roleWatcher, What: "platform's list, own data centre, blocking queries",
			Bytes: e.listReadBytes(t, endpoints),
		},
		{
			Role: roleWatcher, What: "document sent to half of the data centre",
			Bytes: e.costAt("document bytes", t.Models) * t.Changes / secondsPerDay * instancesPerCentre / watchersPerCentre,
		},
	}...), e.speakerRows(t)...)
}

// placerRows returns the additional costs of the placer of a data centre while no model is
// loaded or unloaded.
func (e *estimate) placerRows(endpoints float64) []Row {
	reads := endpoints / placer.DefaultStateMaxAge.Seconds()
	return []Row{
		{
			Role: rolePlacer, What: "planner of a data centre, a small part of the time at most",
			CPU: planCPUShare, Heap: 2 * e.costAt("plan memory", endpoints),
		},
		{
			Role: rolePlacer, What: "states of idle endpoints, each every 2 min",
			CPU: e.cpuShare("probe cpu", modelsPerEndpoint, reads), Bytes: e.costAt("probe bytes", modelsPerEndpoint) * reads,
		},
	}
}

// listReadBytes returns what a watcher reads of the platform's list, in bytes per second: the
// instances after each of their changes, and everything when a blocking query times out.
func (e *estimate) listReadBytes(t Target, endpoints float64) float64 {
	instances := e.costAt("list read bytes", t.Instances)
	return instances*listChangeRate(t) + (instances+e.costAt("list read bytes", endpoints))/listing.WatchTimeout.Seconds()
}

// listChangeRate returns the changes of instances' rows per second. Each failure and each
// restart changes a row twice, when the instance leaves and when it returns.
func listChangeRate(t Target) float64 {
	return (t.Failures + t.Restarts) * 2 / secondsPerDay
}

// StoreCall is the rate of one kind of call to the platform's service.
type StoreCall struct {
	What string
	Kind string
	Rate float64 // per second, for the whole fleet
}

// Store returns the calls to the platform's service at a target.
func (r *Report) Store(t Target) ([]StoreCall, error) {
	e := &estimate{report: r}
	claims := t.Requests * t.OnceShare
	watching := t.Centres * watchersPerCentre
	calls := []StoreCall{
		{"watch of the document", kindRead, watching / watchPeriod},
		{"document read again after each change", kindRead, watching * t.Changes / secondsPerDay},
		{"platform's list, instances and one service", kindRead, watching * (2/listing.WatchTimeout.Seconds() + listChangeRate(t))},
		{"apply of a document", kindWrite, t.Changes / secondsPerDay},
		{"placer leases renewed", kindWrite, t.Centres * leaseRenewals},
		{"claims, one write each", kindWrite, claims},
		{whatClaimEnds, kindWrite, t.Instances * e.costAt("claim end writes a second", claims/t.Instances)},
		{"sweep of claims, a shard a call, by each placer", kindWrite, t.Centres * float64(once.ShardsFor(int(t.Instances))) / once.DefaultRetention.Seconds()},
	}
	return calls, e.err
}

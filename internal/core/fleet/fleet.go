// Package fleet defines the identifiers that all packages share: regions, data centres,
// instances, endpoints, models and the ranks of requests.
package fleet

// Region is a set of data centres connected by fast links.
type Region string

// DataCentre is one site inside a region.
type DataCentre string

// Instance identifies one chiverampd process.
type Instance string

// Endpoint identifies one model server with one accelerator.
type Endpoint string

// Software is the version of an endpoint's software. Streams that two versions write don't fit
// together.
type Software string

// Model identifies a base model. Versions are part of the name ("matcher@3").
type Model string

// Adapter identifies a fine-tuned adapter of a model.
type Adapter string

// Profile names a set of operator-defined targets for the requests of a service.
type Profile string

// Fence is a fencing token. It increases with each holder of a lease.
type Fence uint64

// Place is the location of an instance or endpoint.
type Place struct {
	Region     Region
	DataCentre DataCentre
}

// Rank is the priority of a request.
type Rank string

// The ranks, most urgent first.
const (
	RankUrgent   Rank = "urgent"
	RankStandard Rank = "standard"
	RankBulk     Rank = "bulk"
)

// Ranks lists every rank, most urgent first.
func Ranks() []Rank {
	return []Rank{RankUrgent, RankStandard, RankBulk}
}

// Level returns 0 for the most urgent rank, and higher numbers for less urgent ones.
func (r Rank) Level() int {
	switch r {
	case RankUrgent:
		return 0
	case RankStandard:
		return 1
	default:
		return 2
	}
}

// Outcome says whether a request ran on an endpoint.
type Outcome string

// The outcomes reported to a caller.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

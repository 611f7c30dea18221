// Package fleet names the things every part of the system talks about:
// regions, data centres, instances, endpoints, models and ranks of work.
package fleet

// Region is a set of data centres joined by fast links.
type Region string

// DataCentre is one site inside a region.
type DataCentre string

// Instance identifies one chiverampd process.
type Instance string

// Endpoint identifies one back end with one accelerator.
type Endpoint string

// Model identifies a base model. Versions are part of the name ("matcher@3").
type Model string

// Adapter identifies a fine-tuned adapter of a model.
type Adapter string

// Profile names a set of operator-defined targets that a service runs under.
type Profile string

// Fence is a number that rises with each holder of a lease.
type Fence uint64

// Place is where an instance or endpoint stands.
type Place struct {
	Region     Region
	DataCentre DataCentre
}

// Rank orders work by urgency.
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

// Level returns 0 for the most urgent rank, rising with less urgent ones.
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

// The outcomes a caller is told.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

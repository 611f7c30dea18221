package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// queueGrowth is how many times longer a queue may have become since it was measured.
	queueGrowth = 2
	// MaxAllowance limits how much longer calls over a link may take.
	MaxAllowance = 5 * time.Second
	// fetchers is how many instances of a region fetch over the link for all of it. As many more do
	// after each patience, which is this long over an empty link.
	fetchers = 2
	patience = 500 * time.Millisecond
)

// Allowance returns how much longer a call over a link may take than over an empty one, by the queues both
// ways. It answers a link that fills within a second or two: calls that end while their answers wait are
// made again, behind the same queue.
func Allowance(there, back time.Duration) time.Duration {
	return min(queueGrowth*(there+back), MaxAllowance)
}

// Fetchers returns the instances of a region that fetch over the link first, of those that live. All
// instances that know the same ones choose alike. It answers a change that a region of dozens lacks: each
// of them would fetch the same bytes over the same link.
func Fetchers(region []fleet.Instance) []fleet.Instance {
	sorted := slices.SortedFunc(slices.Values(region), compareFetchers)
	return sorted[:min(fetchers, len(sorted))]
}

// Fetches reports whether an instance fetches over a link what no peer of its region has had for a time.
func Fetches(self fleet.Instance, peers []fleet.Instance, missing, allowance time.Duration) bool {
	rank := 0
	for _, p := range peers {
		if compareFetchers(p, self) < 0 {
			rank++
		}
	}
	return rank < fetchers*(1+int(missing/(patience+allowance)))
}

func compareFetchers(a, b fleet.Instance) int {
	return cmp.Or(cmp.Compare(fetchScore(a), fetchScore(b)), cmp.Compare(a, b))
}

func fetchScore(i fleet.Instance) uint64 { return xxhash.Sum64String("fetch/" + string(i)) }

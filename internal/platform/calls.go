package platform

import (
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

// Kind is a kind of call to the store.
type Kind string

// The kinds of calls that are counted.
const (
	KindGet     Kind = "get"
	KindList    Kind = "list"
	KindSwap    Kind = "swap"
	KindCommit  Kind = "commit"
	KindGrant   Kind = "grant"
	KindRenew   Kind = "renew"
	KindRevoke  Kind = "revoke"
	KindAcquire Kind = "acquire"
	KindWait    Kind = "wait"
	KindMembers Kind = "members"
	KindWatch   Kind = "watch"
)

// Kinds lists every kind of call, reads first.
func Kinds() []Kind {
	return []Kind{
		KindGet, KindList, KindWait, KindMembers, KindWatch,
		KindSwap, KindCommit, KindGrant, KindRenew, KindRevoke, KindAcquire,
	}
}

// IsRead reports whether calls of this kind count as reads.
func (k Kind) IsRead() bool {
	switch k {
	case KindGet, KindList, KindWait, KindMembers, KindWatch:
		return true
	default:
		return false
	}
}

// CallCount is the number of calls of one kind.
type CallCount struct {
	Kind  Kind   `json:"kind"`
	Count uint64 `json:"count"`
}

// Calls is a snapshot of the call counts, in the order of Kinds.
type Calls []CallCount

// Of returns the number of calls of one kind.
func (c Calls) Of(kind Kind) uint64 {
	for _, cc := range c {
		if cc.Kind == kind {
			return cc.Count
		}
	}
	return 0
}

// Reads returns the number of calls that count as reads.
func (c Calls) Reads() uint64 {
	return c.sumCounts(true)
}

// Writes returns the number of calls that count as writes.
func (c Calls) Writes() uint64 {
	return c.sumCounts(false)
}

func (c Calls) sumCounts(reads bool) uint64 {
	var total uint64
	for _, cc := range c {
		if cc.Kind.IsRead() == reads {
			total += cc.Count
		}
	}
	return total
}

// Counter counts calls by kind. It is safe for concurrent use.
type Counter struct {
	counts   []atomic.Uint64
	counters []metrics.Counter
}

// NewCounter returns a counter that also increments the registry's "store.calls.<kind>"
// counters, unless the registry is nil.
func NewCounter(registry metrics.Registry) *Counter {
	c := &Counter{counts: make([]atomic.Uint64, len(Kinds()))}
	if registry == nil {
		return c
	}
	for _, k := range Kinds() {
		c.counters = append(c.counters, metrics.GetOrRegisterCounter("store.calls."+string(k), registry))
	}
	return c
}

// Add counts one call.
func (c *Counter) Add(kind Kind) {
	for i, k := range Kinds() {
		if k != kind {
			continue
		}
		c.counts[i].Add(1)
		if c.counters != nil {
			c.counters[i].Inc(1)
		}
	}
}

// Calls returns the counts so far.
func (c *Counter) Calls() Calls {
	calls := make(Calls, 0, len(c.counts))
	for i, k := range Kinds() {
		calls = append(calls, CallCount{Kind: k, Count: c.counts[i].Load()})
	}
	return calls
}

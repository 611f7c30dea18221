package route

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// BlockTokens is the number of tokens in one cached block of a prompt.
const BlockTokens = 64

// Defaults of a PrefixIndex, and the divisor that it uses for the expiry of unreliable
// entries and for the free space after trimming.
const (
	DefaultExpiry    = 2 * time.Minute
	DefaultBlocks    = 1 << 14
	reductionDivisor = 4
)

// Block is the chained hash of a prompt up to the end of one block: equal
// blocks mean equal text from the start of the prompt.
type Block uint64

// PrefixIndex is an approximate index of which endpoint has cached which blocks.
// Cache events arrive late and with gaps, so each entry expires, and entries from
// before a gap in an endpoint's events expire sooner. It is not safe for concurrent use.
type PrefixIndex struct {
	expiry time.Duration
	limit  int
	caches map[fleet.Endpoint]*endpointCache
}

// endpointCache has the blocks of one endpoint.
type endpointCache struct {
	sequence         uint64
	blocks           map[Block]int64 // when last seen, Unix nanoseconds
	unreliableBefore int64           // Unix nanoseconds; entries from before this time may be wrong
}

// NewPrefixIndex returns an empty index that keeps at most limit blocks of an
// endpoint, each until expiry after it was last seen.
func NewPrefixIndex(expiry time.Duration, limit int) *PrefixIndex {
	return &PrefixIndex{expiry: expiry, limit: max(limit, 1), caches: make(map[fleet.Endpoint]*endpointCache)}
}

// RecordSent records that a prompt was sent to the endpoint, which will cache it.
func (p *PrefixIndex) RecordSent(now time.Time, e fleet.Endpoint, blocks []Block) {
	v := p.cache(e)
	for _, b := range blocks {
		v.blocks[b] = now.UnixNano()
	}
	p.trim(now, v)
}

// RecordEvent records a cache event: blocks that the endpoint stored and dropped.
// A gap in the sequence numbers means that events were lost.
func (p *PrefixIndex) RecordEvent(now time.Time, e fleet.Endpoint, sequence uint64, stored, dropped []Block) {
	v := p.cache(e)
	if v.sequence != 0 && sequence != v.sequence+1 {
		v.unreliableBefore = now.UnixNano()
	}
	v.sequence = sequence
	for _, b := range stored {
		v.blocks[b] = now.UnixNano()
	}
	for _, b := range dropped {
		delete(v.blocks, b)
	}
	p.trim(now, v)
}

// Remove removes an endpoint from the index.
func (p *PrefixIndex) Remove(e fleet.Endpoint) {
	delete(p.caches, e)
}

// Match returns how many tokens of the prompt the endpoint has probably cached.
func (p *PrefixIndex) Match(now time.Time, e fleet.Endpoint, blocks []Block) int {
	v, ok := p.caches[e]
	if !ok {
		return 0
	}
	count := 0
	at := now.UnixNano()
	for _, b := range blocks {
		seen, ok := v.blocks[b]
		if !ok || !p.fresh(at, v, seen) {
			break
		}
		count++
	}
	return count * BlockTokens
}

func (p *PrefixIndex) fresh(now int64, v *endpointCache, seen int64) bool {
	age := time.Duration(now - seen)
	if seen < v.unreliableBefore {
		return age < p.expiry/reductionDivisor
	}
	return age < p.expiry
}

func (p *PrefixIndex) cache(e fleet.Endpoint) *endpointCache {
	v, ok := p.caches[e]
	if !ok {
		v = &endpointCache{blocks: make(map[Block]int64)}
		p.caches[e] = v
	}
	return v
}

// trim keeps an endpoint within the limit of blocks: it removes expired blocks first,
// then arbitrary ones.
func (p *PrefixIndex) trim(now time.Time, v *endpointCache) {
	if len(v.blocks) <= p.limit {
		return
	}
	for b, seen := range v.blocks {
		if !p.fresh(now.UnixNano(), v, seen) {
			delete(v.blocks, b)
		}
	}
	target := p.limit - p.limit/reductionDivisor
	for b := range v.blocks {
		if len(v.blocks) <= target {
			return
		}
		delete(v.blocks, b)
	}
}

package entry

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	blockBytes         = route.BlockTokens * bytesPerToken
	maxPromptBlocks    = 64      // hashed of one prompt
	maxEndpointBlocks  = 1 << 11 // remembered for each endpoint
	maxPrefixes        = 1 << 13 // first blocks remembered
	endpointsPerPrefix = 4       // most recent endpoints remembered for a first block
	expiryInterval     = time.Minute
)

// messagesField marks the start of the part of a chat body that engines cache.
var messagesField = []byte(`"messages"`)

// hashBlocks hashes the blocks of the prompt, each together with all blocks before it. Model
// and adapter are hashed first, since engines don't share the prefix cache between them.
func (p *plan) hashBlocks() {
	if p.request.Service != "" {
		return
	}
	start := bytes.Index(p.attemptBody, messagesField)
	if start < 0 {
		return
	}
	text := p.attemptBody[start:]
	count := min(len(text)/blockBytes, maxPromptBlocks)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(p.request.Model + "\x00" + p.request.Adapter + "\x00")
	p.blocks = make([]route.Block, 0, count)
	for i := range count {
		_, _ = digest.Write(text[i*blockBytes : (i+1)*blockBytes])
		p.blocks = append(p.blocks, route.Block(digest.Sum64()))
	}
}

// promptHistory records which prompts this instance sent to which endpoints, to estimate what
// their prefix caches hold.
type promptHistory struct {
	index      *route.PrefixIndex
	prefixes   map[route.Block]*recentEndpoints
	lastSent   map[fleet.Endpoint]sentPrompt
	lastExpiry time.Time
}

// recentEndpoints is a ring of the endpoints that most recently got prompts with the same first
// block, so that a choice checks these few instead of the whole fleet.
type recentEndpoints struct {
	endpoints [endpointsPerPrefix]fleet.Endpoint
	next      int
}

// sentPrompt is the time of the last prompt sent to an endpoint, and the incarnation that got
// it.
type sentPrompt struct {
	at          time.Time
	incarnation string
}

func newPromptHistory() *promptHistory {
	return &promptHistory{
		index:    route.NewPrefixIndex(route.DefaultExpiry, maxEndpointBlocks),
		prefixes: make(map[route.Block]*recentEndpoints),
		lastSent: make(map[fleet.Endpoint]sentPrompt),
	}
}

// cacheHint is how many tokens of a prompt an endpoint has probably cached.
type cacheHint struct {
	endpoint fleet.Endpoint
	tokens   int
}

// matchPrefix appends hints for the endpoints that recently got a prompt with the same first
// block and have not restarted since.
func (g *Gateway) matchPrefix(hints []cacheHint, now time.Time, p *plan) []cacheHint {
	if len(p.blocks) == 0 || switches.Off(switches.Affinity) {
		return hints
	}
	recent, ok := g.promptHistory.prefixes[p.blocks[0]]
	if !ok {
		return hints
	}
	for _, id := range recent.endpoints {
		if sent, ok := g.promptHistory.lastSent[id]; ok && sent.incarnation == g.directory.Incarnation(id) {
			hints = append(hints, cacheHint{id, g.promptHistory.index.Match(now, id, p.blocks)})
		}
	}
	return hints
}

// cachedTokens returns how many tokens of the prompt an endpoint has probably cached.
func (s *selection) cachedTokens(id fleet.Endpoint) int {
	for _, h := range s.hints {
		if h.endpoint == id {
			return h.tokens
		}
	}
	return 0
}

// recordPrompt records that a prompt is sent to an endpoint.
func (g *Gateway) recordPrompt(now time.Time, p *plan, id fleet.Endpoint) {
	if len(p.blocks) > 0 {
		g.promptHistory.record(now, id, g.directory.Incarnation(id), p.blocks)
	}
}

func (p *promptHistory) record(now time.Time, id fleet.Endpoint, incarnation string, blocks []route.Block) {
	p.expire(now)
	if last, ok := p.lastSent[id]; ok && last.incarnation != incarnation {
		p.index.Remove(id)
	}
	p.lastSent[id] = sentPrompt{at: now, incarnation: incarnation}
	p.index.RecordSent(now, id, blocks)
	recent, ok := p.prefixes[blocks[0]]
	if !ok {
		p.evict()
		recent = &recentEndpoints{}
		p.prefixes[blocks[0]] = recent
	}
	recent.add(id)
}

func (r *recentEndpoints) add(id fleet.Endpoint) {
	if slices.Contains(r.endpoints[:], id) {
		return
	}
	r.endpoints[r.next] = id
	r.next = (r.next + 1) % endpointsPerPrefix
}

// expire drops endpoints that got no prompt during route.DefaultExpiry, at most once per
// expiryInterval.
func (p *promptHistory) expire(now time.Time) {
	if now.Sub(p.lastExpiry) < expiryInterval {
		return
	}
	p.lastExpiry = now
	for id, last := range p.lastSent {
		if now.Sub(last.at) >= route.DefaultExpiry {
			delete(p.lastSent, id)
			p.index.Remove(id)
		}
	}
}

// evict removes arbitrary prefixes down to half the limit if the limit is reached.
func (p *promptHistory) evict() {
	if len(p.prefixes) < maxPrefixes {
		return
	}
	for first := range p.prefixes {
		if len(p.prefixes) <= maxPrefixes/2 {
			return
		}
		delete(p.prefixes, first)
	}
}

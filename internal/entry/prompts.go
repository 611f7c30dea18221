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
	blockBytes     = route.BlockTokens * tokenBytes
	promptBlocks   = 64      // of one prompt that count
	endpointBlocks = 1 << 11 // kept for each endpoint
	siteLimit      = 1 << 13 // first blocks kept
	siteHolders    = 4       // endpoints kept for a first block, the newest
	forgetEvery    = time.Minute
)

// messagesField begins the part of a chat body that engines cache.
var messagesField = []byte(`"messages"`)

// block hashes the prompt's blocks, each together with all before it. Equal text
// for another model or adapter is not cached together, so these are hashed first.
func (p *plan) block() {
	if p.request.Service != "" {
		return
	}
	start := bytes.Index(p.kept, messagesField)
	if start < 0 {
		return
	}
	text := p.kept[start:]
	count := min(len(text)/blockBytes, promptBlocks)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(p.request.Model + "\x00" + p.request.Adapter + "\x00")
	p.blocks = make([]route.Block, 0, count)
	for i := range count {
		_, _ = digest.Write(text[i*blockBytes : (i+1)*blockBytes])
		p.blocks = append(p.blocks, route.Block(digest.Sum64()))
	}
}

// prompts remembers which endpoints were sent which prompts from here.
type prompts struct {
	index  *route.PrefixIndex
	sites  map[route.Block]*site
	sent   map[fleet.Endpoint]sending
	forgot time.Time
}

// site lists the endpoints that were last sent prompts with one first block, so
// that a choice looks at these few and not at the whole fleet.
type site struct {
	holders [siteHolders]fleet.Endpoint
	next    int
}

// sending is the last one to an endpoint, and the incarnation that got it.
type sending struct {
	at          time.Time
	incarnation string
}

func newPrompts() *prompts {
	return &prompts{
		index: route.NewPrefixIndex(route.DefaultExpiry, endpointBlocks),
		sites: make(map[route.Block]*site),
		sent:  make(map[fleet.Endpoint]sending),
	}
}

// hint tells how much of a prompt an endpoint has probably cached, in tokens.
type hint struct {
	endpoint fleet.Endpoint
	tokens   int
}

// match appends hints for the endpoints that were last sent this start of a
// prompt.
func (g *Gateway) match(hints []hint, now time.Time, p *plan) []hint {
	if len(p.blocks) == 0 || switches.Off(switches.Affinity) {
		return hints
	}
	known, ok := g.prompts.sites[p.blocks[0]]
	if !ok {
		return hints
	}
	for _, id := range known.holders {
		if sent, ok := g.prompts.sent[id]; ok && sent.incarnation == g.directory.Incarnation(id) {
			hints = append(hints, hint{id, g.prompts.index.Match(now, id, p.blocks)})
		}
	}
	return hints
}

// cached returns the cached tokens at any endpoint.
func (c *choice) cached(id fleet.Endpoint) int {
	for _, h := range c.hints {
		if h.endpoint == id {
			return h.tokens
		}
	}
	return 0
}

// remember notes that a prompt goes to an endpoint.
func (g *Gateway) remember(now time.Time, p *plan, id fleet.Endpoint) {
	if len(p.blocks) > 0 {
		g.prompts.remember(now, id, g.directory.Incarnation(id), p.blocks)
	}
}

func (s *prompts) remember(now time.Time, id fleet.Endpoint, incarnation string, blocks []route.Block) {
	s.forget(now)
	if last, ok := s.sent[id]; ok && last.incarnation != incarnation {
		s.index.Remove(id)
	}
	s.sent[id] = sending{at: now, incarnation: incarnation}
	s.index.RecordSent(now, id, blocks)
	known, ok := s.sites[blocks[0]]
	if !ok {
		s.trim()
		known = &site{}
		s.sites[blocks[0]] = known
	}
	known.add(id)
}

func (s *site) add(id fleet.Endpoint) {
	if slices.Contains(s.holders[:], id) {
		return
	}
	s.holders[s.next] = id
	s.next = (s.next + 1) % siteHolders
}

// forget drops, once in a while, the endpoints that got nothing for long.
func (s *prompts) forget(now time.Time) {
	if now.Sub(s.forgot) < forgetEvery {
		return
	}
	s.forgot = now
	for id, last := range s.sent {
		if now.Sub(last.at) >= route.DefaultExpiry {
			delete(s.sent, id)
			s.index.Remove(id)
		}
	}
}

// trim makes room for first blocks; any of them may go.
func (s *prompts) trim() {
	if len(s.sites) < siteLimit {
		return
	}
	for first := range s.sites {
		if len(s.sites) <= siteLimit/2 {
			return
		}
		delete(s.sites, first)
	}
}

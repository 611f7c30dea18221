package balance

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// mostPrompts bounds the parts remembered for one endpoint; an engine's KV cache
// holds a few hundred of some thousand tokens.
const mostPrompts = 400

// prompts remembers which parts an endpoint has read, least recently used last.
type prompts struct {
	order *list.List
	known map[uint64]*list.Element
}

func newPrompts() *prompts {
	return &prompts{order: list.New(), known: make(map[uint64]*list.Element)}
}

func (p *prompts) add(key uint64) {
	if e, ok := p.known[key]; ok {
		p.order.MoveToFront(e)
		return
	}
	p.known[key] = p.order.PushFront(key)
	if p.order.Len() <= mostPrompts {
		return
	}
	last := p.order.Back()
	p.order.Remove(last)
	if key, ok := last.Value.(uint64); ok {
		delete(p.known, key)
	}
}

// chain calls fn with a key for each start of the prompt, until fn returns false.
// A part can be used only behind the same parts, for the same model and adapter.
func chain(a *Ask, fn func(key uint64, tokens int) bool) {
	d := xxhash.New()
	_, _ = d.WriteString(string(a.Model) + "/" + string(a.Adapter))
	for _, part := range a.Parts {
		_, _ = d.WriteString("/" + part.ID)
		if !fn(d.Sum64(), part.Tokens) {
			return
		}
	}
}

// cached returns how many tokens of the prompt the endpoint has probably kept.
func (b *Board) cached(id fleet.Endpoint, a *Ask) int {
	p := b.seen[id]
	if p == nil {
		return 0
	}
	tokens := 0
	chain(a, func(key uint64, n int) bool {
		if _, ok := p.known[key]; !ok {
			return false
		}
		tokens += n
		return true
	})
	return tokens
}

func (b *Board) remember(id fleet.Endpoint, a *Ask) {
	if len(a.Parts) == 0 {
		return
	}
	p := b.seen[id]
	if p == nil {
		p = newPrompts()
		b.seen[id] = p
	}
	chain(a, func(key uint64, _ int) bool {
		p.add(key)
		return true
	})
}

// Emptied forgets what an endpoint has read, as after a restart.
func (b *Board) Emptied(id fleet.Endpoint) { delete(b.seen, id) }

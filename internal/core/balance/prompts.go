package balance

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// maxCachedParts limits the prompt parts recorded per endpoint; an engine's KV cache
// holds a few hundred parts of some thousand tokens.
const maxCachedParts = 400

// promptCache is an LRU set of the prompt prefixes that an endpoint has processed, most
// recently used first.
type promptCache struct {
	recent   *list.List
	elements map[uint64]*list.Element
}

func newPromptCache() *promptCache {
	return &promptCache{recent: list.New(), elements: make(map[uint64]*list.Element)}
}

func (p *promptCache) add(key uint64) {
	if e, ok := p.elements[key]; ok {
		p.recent.MoveToFront(e)
		return
	}
	p.elements[key] = p.recent.PushFront(key)
	if p.recent.Len() <= maxCachedParts {
		return
	}
	last := p.recent.Back()
	p.recent.Remove(last)
	if key, ok := last.Value.(uint64); ok {
		delete(p.elements, key)
	}
}

// eachPrefix calls fn with a key for each prefix of the prompt, until fn returns false.
// A cached part is usable only behind the same parts, for the same model and adapter.
func eachPrefix(a *Request, fn func(key uint64, tokens int) bool) {
	d := xxhash.New()
	_, _ = d.WriteString(string(a.Model) + "/" + string(a.Adapter))
	for _, part := range a.Parts {
		_, _ = d.WriteString("/" + part.ID)
		if !fn(d.Sum64(), part.Tokens) {
			return
		}
	}
}

// cachedTokens returns how many tokens of the prompt the endpoint probably has in its KV cache.
func (b *Balancer) cachedTokens(id fleet.Endpoint, a *Request) int {
	p := b.promptCaches[id]
	if p == nil {
		return 0
	}
	tokens := 0
	eachPrefix(a, func(key uint64, n int) bool {
		if _, ok := p.elements[key]; !ok {
			return false
		}
		tokens += n
		return true
	})
	return tokens
}

func (b *Balancer) recordPrompt(id fleet.Endpoint, a *Request) {
	if len(a.Parts) == 0 {
		return
	}
	p := b.promptCaches[id]
	if p == nil {
		p = newPromptCache()
		b.promptCaches[id] = p
	}
	eachPrefix(a, func(key uint64, _ int) bool {
		p.add(key)
		return true
	})
}

// ClearPrompts removes the recorded prompts of an endpoint, for example after its restart.
func (b *Balancer) ClearPrompts(id fleet.Endpoint) { delete(b.promptCaches, id) }

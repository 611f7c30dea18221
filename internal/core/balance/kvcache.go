package balance

import "container/list"

// kvCacheShare is the part of an engine's memory in which prompts stay cached: running requests hold
// the rest.
const kvCacheShare = 0.7

// Prefix is a prompt up to the end of one of its parts: a key of it, and the tokens of that part.
type Prefix struct {
	Key    uint64
	Tokens int
}

// Prefixes returns the prefixes of a request's prompt, the shortest first.
func Prefixes(a *Request) []Prefix {
	all := make([]Prefix, 0, len(a.Parts))
	eachPrefix(a, func(key uint64, tokens int) bool {
		all = append(all, Prefix{key, tokens})
		return true
	})
	return all
}

// KVCache predicts which prompts an engine keeps in its memory, from all that were admitted there. It
// answers the load of hundreds of instances that share few prefixes: each one sees so few of an
// endpoint's prompts that it takes most prefixes for new. The zero value is an empty cache. It is not safe for
// concurrent use.
type KVCache struct {
	recent   list.List // of Prefix, most recently used first
	elements map[uint64]*list.Element
	tokens   int
}

// Cached returns how many tokens at the beginning of a prompt are cached.
func (c *KVCache) Cached(prompt []Prefix) int {
	tokens := 0
	for _, p := range prompt {
		if _, ok := c.elements[p.Key]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Add records a prompt that an engine with memory for a number of tokens reads. The least recently
// used parts leave the cache, later parts of a prompt before earlier ones.
func (c *KVCache) Add(prompt []Prefix, capacity int) {
	if c.elements == nil {
		c.elements = make(map[uint64]*list.Element)
	}
	for i := len(prompt) - 1; i >= 0; i-- {
		if e, ok := c.elements[prompt[i].Key]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.elements[prompt[i].Key] = c.recent.PushFront(prompt[i])
		c.tokens += prompt[i].Tokens
	}
	limit := int(kvCacheShare * float64(capacity))
	for last := c.recent.Back(); last != nil && (c.tokens > limit || c.recent.Len() > maxCachedParts); last = c.recent.Back() {
		if p, ok := c.recent.Remove(last).(Prefix); ok {
			delete(c.elements, p.Key)
			c.tokens -= p.Tokens
		}
	}
}

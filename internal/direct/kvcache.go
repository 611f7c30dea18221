package direct

import (
	"maps"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// minAdmittedPrompts is how many prompts an instance must have admitted to an endpoint before its
// record of what is cached there counts for more than that of the sender of a request.
const minAdmittedPrompts = 8

// endpointCache is what an endpoint keeps of the prompts that were admitted there.
type endpointCache struct {
	balance.KVCache
	prompts int // admitted
}

// addPrompt adds what the instance that admits the request needs to predict how much of its prompt is
// cached.
func (s *state) addPrompt(q *gossip.Admit, a *balance.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Model == "" || len(a.Parts) == 0 || !s.spreads(a.Service) {
		return
	}
	for _, p := range balance.Prefixes(a) {
		q.Prompt = append(q.Prompt, gossip.Prefix{Key: p.Key, Tokens: p.Tokens})
	}
	q.Tokens, q.Uncached = a.PromptTokens, a.Uncached
}

// scaleToCache corrects the work of a prompt by what this instance, which admits all requests of the
// endpoint, knows to be cached there.
func (s *state) scaleToCache(a *gossip.Admit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.caches[incarnation{a.Endpoint, a.Born}]
	if c == nil || a.Uncached <= 0 || len(a.Prompt) == 0 {
		return
	}
	uncached := max(0, a.Tokens-c.Cached(prefixes(a)))
	if c.prompts < minAdmittedPrompts {
		uncached = min(uncached, a.Uncached)
	}
	work := time.Duration(float64(a.Work) * float64(uncached) / float64(a.Uncached))
	a.Limit = max(0, a.Limit-(work-a.Work))
	a.Work = work
}

// recordAdmitted records the prompt of a request that was admitted.
func (s *state) recordAdmitted(a *gossip.Admit) {
	e := s.roster.Get(a.Endpoint)
	if len(a.Prompt) == 0 || e == nil || e.Report.Total <= 0 {
		return
	}
	key := incarnation{a.Endpoint, a.Born}
	c := s.caches[key]
	if c == nil {
		c = new(endpointCache)
		s.caches[key] = c
	}
	c.Add(prefixes(a), e.Report.Total)
	c.prompts++
}

func prefixes(a *gossip.Admit) []balance.Prefix {
	all := make([]balance.Prefix, 0, len(a.Prompt))
	for _, p := range a.Prompt {
		all = append(all, balance.Prefix{Key: p.Key, Tokens: p.Tokens})
	}
	return all
}

// removeOldCaches forgets the endpoints that are gone, have restarted, or have another admitting
// instance.
func (s *state) removeOldCaches() {
	maps.DeleteFunc(s.caches, func(key incarnation, _ *endpointCache) bool {
		e := s.roster.Get(key.id)
		if e == nil || e.Born != key.born {
			return true
		}
		p, ok := s.dispatcher(e)
		return ok && p.Instance != s.view.Self().Instance
	})
}

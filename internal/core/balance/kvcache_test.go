package balance_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/balance"
)

func prompt(parts ...balance.PromptPart) []balance.Prefix {
	return balance.Prefixes(&balance.Request{Model: "m", Parts: parts})
}

// The load of many instances that each send few prompts with the same first part to an engine.
func TestKVCache(t *testing.T) {
	shared, one, two := balance.PromptPart{ID: "s", Tokens: 6000}, balance.PromptPart{ID: "1", Tokens: 2000}, balance.PromptPart{ID: "2", Tokens: 2000}
	const memory = 17_000 // 11,900 of them for cached prompts
	tests := []struct {
		name   string
		added  [][]balance.Prefix
		asked  []balance.Prefix
		cached int
	}{
		{name: "empty", asked: prompt(shared, one)},
		{name: "the same prompt", added: [][]balance.Prefix{prompt(shared, one)}, asked: prompt(shared, one), cached: 8000},
		{name: "a shared part", added: [][]balance.Prefix{prompt(shared, one)}, asked: prompt(shared, two), cached: 6000},
		{name: "a part behind another one", added: [][]balance.Prefix{prompt(shared, one)}, asked: prompt(two, one)},
		{name: "memory for the newest", added: [][]balance.Prefix{prompt(two, one), prompt(shared, one)}, asked: prompt(two, one), cached: 2000},
		{name: "used lately", added: [][]balance.Prefix{prompt(shared, one), prompt(two), prompt(shared, two), prompt(one, two)}, asked: prompt(shared, two), cached: 6000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c balance.KVCache
			for _, p := range tt.added {
				c.Add(p, memory)
			}
			assert.Equal(t, tt.cached, c.Cached(tt.asked))
		})
	}
}

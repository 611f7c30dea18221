package engine

import (
	"container/list"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const (
	blockTokens  = 16
	cacheBlocks  = 4096
	eventHistory = 4096
)

type blockKey struct {
	model string
	hash  uint64
}

type pastEvent struct {
	endpoint.CacheEvent
	at time.Time
}

// cache is the prefix cache: blocks of prompts, the least used dropped first.
type cache struct {
	lag    time.Duration
	blocks map[blockKey]*list.Element
	order  *list.List // of blockKey, the least used first
	events []pastEvent
	number uint64
}

func newCache(lag time.Duration) *cache {
	return &cache{lag: lag, blocks: map[blockKey]*list.Element{}, order: list.New()}
}

// BlockHashes returns the hashes of a prompt's whole blocks, each over the
// prompt up to the block's end.
func BlockHashes(model, prompt string) []uint64 {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	var hashes []uint64
	for i, word := range words {
		_, _ = hash.WriteString(" " + word)
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, hash.Sum64())
		}
	}
	return hashes
}

// use counts the prompt's tokens that were cached, and caches all of it.
func (c *cache) use(model, prompt string, now time.Time) int {
	cached := 0
	missed := false
	for _, hash := range BlockHashes(model, prompt) {
		key := blockKey{model, hash}
		element, ok := c.blocks[key]
		if ok && !missed {
			cached += blockTokens
			c.order.MoveToBack(element)
			continue
		}
		missed = true
		c.store(key, now)
	}
	return cached
}

func (c *cache) store(key blockKey, now time.Time) {
	if element, ok := c.blocks[key]; ok {
		c.order.MoveToBack(element)
		return
	}
	c.blocks[key] = c.order.PushBack(key)
	c.note(endpoint.CacheStored, key, now)
	if c.order.Len() <= cacheBlocks {
		return
	}
	oldest, ok := c.order.Remove(c.order.Front()).(blockKey)
	if ok {
		delete(c.blocks, oldest)
		c.note(endpoint.CacheRemoved, oldest, now)
	}
}

func (c *cache) note(kind endpoint.CacheKind, key blockKey, now time.Time) {
	c.number++
	event := endpoint.CacheEvent{
		Number: c.number, Kind: kind, Model: fleet.Model(key.model), Block: key.hash, Tokens: blockTokens,
	}
	c.events = append(c.events, pastEvent{event, now})
	if len(c.events) > eventHistory {
		c.events = c.events[len(c.events)-eventHistory:]
	}
}

// after returns the events after a number that are old enough to be told.
func (c *cache) after(number, gap uint64, now time.Time) []endpoint.CacheEvent {
	told := []endpoint.CacheEvent{}
	for _, event := range c.events {
		lost := gap > 0 && event.Number%gap == 0
		if event.Number > number && !lost && now.Sub(event.at) >= c.lag {
			told = append(told, event.CacheEvent)
		}
	}
	return told
}

// holding returns the cached blocks of a prompt, up to the first that is not.
func (c *cache) holding(model, prompt string) []uint64 {
	var held []uint64
	for _, hash := range BlockHashes(model, prompt) {
		if _, ok := c.blocks[blockKey{model, hash}]; !ok {
			break
		}
		held = append(held, hash)
	}
	return held
}

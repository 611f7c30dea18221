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
	blockTokens    = 16
	maxCacheBlocks = 4096
	maxCacheEvents = 4096
)

type blockKey struct {
	model string
	hash  uint64
}

type timedEvent struct {
	endpoint.CacheEvent
	at time.Time
}

// cache is the prefix cache. It holds prompt blocks and evicts the least recently
// used one.
type cache struct {
	eventLag   time.Duration
	blocks     map[blockKey]*list.Element
	lru        *list.List // of blockKey, the least recently used first
	events     []timedEvent
	lastNumber uint64
}

func newCache(lag time.Duration) *cache {
	return &cache{eventLag: lag, blocks: map[blockKey]*list.Element{}, lru: list.New()}
}

// BlockHashes returns a hash for each complete block of a prompt. It covers the
// model and the prompt up to the end of the block.
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

// cachePrompt returns how many leading tokens of the prompt were cached, and then
// caches all its complete blocks.
func (c *cache) cachePrompt(model, prompt string, now time.Time) int {
	cached := 0
	missed := false
	for _, hash := range BlockHashes(model, prompt) {
		key := blockKey{model, hash}
		element, ok := c.blocks[key]
		if ok && !missed {
			cached += blockTokens
			c.lru.MoveToBack(element)
			continue
		}
		missed = true
		c.store(key, now)
	}
	return cached
}

func (c *cache) store(key blockKey, now time.Time) {
	if element, ok := c.blocks[key]; ok {
		c.lru.MoveToBack(element)
		return
	}
	c.blocks[key] = c.lru.PushBack(key)
	c.recordEvent(endpoint.CacheStored, key, now)
	if c.lru.Len() <= maxCacheBlocks {
		return
	}
	oldest, ok := c.lru.Remove(c.lru.Front()).(blockKey)
	if ok {
		delete(c.blocks, oldest)
		c.recordEvent(endpoint.CacheRemoved, oldest, now)
	}
}

func (c *cache) recordEvent(kind endpoint.CacheKind, key blockKey, now time.Time) {
	c.lastNumber++
	event := endpoint.CacheEvent{
		Number: c.lastNumber, Kind: kind, Model: fleet.Model(key.model), Block: key.hash, Tokens: blockTokens,
	}
	c.events = append(c.events, timedEvent{event, now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a number that are at least eventLag old. A
// gap above zero drops the events whose number it divides.
func (c *cache) eventsAfter(number, gap uint64, now time.Time) []endpoint.CacheEvent {
	visible := []endpoint.CacheEvent{}
	for _, event := range c.events {
		dropped := gap > 0 && event.Number%gap == 0
		if event.Number > number && !dropped && now.Sub(event.at) >= c.eventLag {
			visible = append(visible, event.CacheEvent)
		}
	}
	return visible
}

// cachedPrefix returns the leading blocks of a prompt that are cached, up to the
// first miss.
func (c *cache) cachedPrefix(model, prompt string) []uint64 {
	var cached []uint64
	for _, hash := range BlockHashes(model, prompt) {
		if _, ok := c.blocks[blockKey{model, hash}]; !ok {
			break
		}
		cached = append(cached, hash)
	}
	return cached
}

package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/bounded"
)

const (
	maxEntriesBytes = 1 << 20 // bytes
	entriesTimeout  = 3 * time.Second
	defaultCacheTTL = 10 * time.Second
)

// Entry is an instance that callers may connect to.
type Entry struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"datacentre"`
}

// entryList is the response to GET /v1/entries.
type entryList struct {
	Entries []Entry `json:"entries"`
	Keep    string  `json:"keep"`
}

// entryCache holds the cached entries for one profile.
type entryCache struct {
	mu         sync.Mutex
	entries    []Entry
	validUntil time.Time
}

// Entries returns the instances to use for a profile, the best first. The list is
// cached for as long as the system allows.
func (c *Client) Entries(ctx context.Context, profile string) ([]Entry, error) {
	d := c.entryCacheFor(profile)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.now().Before(d.validUntil) {
		return d.entries, nil
	}
	list, err := c.fetchEntriesFromAny(ctx, profile, d.entries)
	if err != nil && len(d.entries) > 0 && ctx.Err() == nil {
		return d.entries, nil // expired entries are better than none
	}
	if err != nil {
		return nil, err
	}
	d.entries = list.Entries
	d.validUntil = c.now().Add(list.cacheTTL())
	return d.entries, nil
}

func (l entryList) cacheTTL() time.Duration {
	ttl, err := time.ParseDuration(l.Keep)
	if err != nil || ttl <= 0 {
		return defaultCacheTTL
	}
	return ttl
}

func (c *Client) entryCacheFor(profile string) *entryCache {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.entryCaches[profile]
	if !ok {
		d = &entryCache{}
		c.entryCaches[profile] = d
	}
	return d
}

// invalidateEntries expires the cached entries of a profile after one of them failed.
func (c *Client) invalidateEntries(profile string) {
	d := c.entryCacheFor(profile)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.validUntil = time.Time{}
}

// avoid moves an address that did not respond behind the others for a while. The
// system keeps listing it until it has noticed the missing heartbeats, and until then
// each request that tried it first would cost a retry.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[address] = c.now().Add(avoidDuration)
}

// avoidedLast returns the entries with the currently avoided ones moved to the end.
func (c *Client) avoidedLast(entries []Entry) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	maps.DeleteFunc(c.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(c.avoidedUntil) == 0 {
		return entries
	}
	var available, avoided []Entry
	for _, entry := range entries {
		if _, found := c.avoidedUntil[entry.Address]; found {
			avoided = append(avoided, entry)
			continue
		}
		available = append(available, entry)
	}
	return append(available, avoided...)
}

// fetchEntriesFromAny queries the cached entries in turn, then the seeds, until one of
// them responds.
func (c *Client) fetchEntriesFromAny(ctx context.Context, profile string, cached []Entry) (entryList, error) {
	var addresses []string
	for _, entry := range cached {
		addresses = append(addresses, entry.Address)
	}
	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	failures := []error{ErrNoEntry}
	for _, address := range addresses {
		list, err := c.fetchEntries(ctx, address, profile)
		if err == nil {
			return list, nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
	}
	return entryList{}, errors.Join(failures...)
}

func (c *Client) fetchEntries(ctx context.Context, address, profile string) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	target := c.scheme + "://" + address + "/v1/entries?profile=" + url.QueryEscape(profile)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := bounded.ReadAll(response.Body, maxEntriesBytes)
	if err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	return parseEntries(address, response, data)
}

func parseEntries(address string, response *http.Response, data []byte) (entryList, error) {
	if response.StatusCode != http.StatusOK {
		return entryList{}, fmt.Errorf("entries %s: %w", address, responseError(response, data))
	}
	var list entryList
	if err := json.Unmarshal(data, &list); err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	if len(list.Entries) == 0 {
		return entryList{}, fmt.Errorf("entries %s: %w: empty list in the response", address, ErrNoEntry)
	}
	return list, nil
}

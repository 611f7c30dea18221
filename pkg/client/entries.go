package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	entriesLimit = 1 << 20 // bytes
	entriesTime  = 3 * time.Second
	keepDefault  = 10 * time.Second
)

// Entry is an instance to which callers may connect.
type Entry struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"datacentre"`
}

// entryList answers GET /v1/entries.
type entryList struct {
	Entries []Entry `json:"entries"`
	Keep    string  `json:"keep"`
}

// directory is the kept answer for one profile.
type directory struct {
	mu      sync.Mutex
	entries []Entry
	until   time.Time
}

// Entries returns the instances to use for a profile, the best first. The
// answer is kept for as long as the system said.
func (c *Client) Entries(ctx context.Context, profile string) ([]Entry, error) {
	d := c.directory(profile)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.now().Before(d.until) {
		return d.entries, nil
	}
	list, err := c.askAny(ctx, profile, d.entries)
	if err != nil && len(d.entries) > 0 && ctx.Err() == nil {
		return d.entries, nil // old addresses are better than none
	}
	if err != nil {
		return nil, err
	}
	d.entries = list.Entries
	d.until = c.now().Add(list.keep())
	return d.entries, nil
}

func (l entryList) keep() time.Duration {
	keep, err := time.ParseDuration(l.Keep)
	if err != nil || keep <= 0 {
		return keepDefault
	}
	return keep
}

func (c *Client) directory(profile string) *directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.entries[profile]
	if !ok {
		d = &directory{}
		c.entries[profile] = d
	}
	return d
}

// forget drops the kept answer, since an address of it did not work.
func (c *Client) forget(profile string) {
	d := c.directory(profile)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Time{}
}

// avoid puts an address that did not answer behind the others for a while: the
// system goes on naming it until heartbeats are missed, and each request that
// tried it first would cost a retry.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = c.now().Add(avoidTime)
}

// preferred returns the entries with those to be avoided last.
func (c *Client) preferred(entries []Entry) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(c.avoided) == 0 {
		return entries
	}
	var first, last []Entry
	for _, entry := range entries {
		if _, avoided := c.avoided[entry.Address]; avoided {
			last = append(last, entry)
			continue
		}
		first = append(first, entry)
	}
	return append(first, last...)
}

// askAny asks the instances known from the last answer, then the given ones.
func (c *Client) askAny(ctx context.Context, profile string, known []Entry) (entryList, error) {
	var addresses []string
	for _, entry := range known {
		addresses = append(addresses, entry.Address)
	}
	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	failures := []error{ErrNoEntry}
	for _, address := range addresses {
		list, err := c.ask(ctx, address, profile)
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

func (c *Client) ask(ctx context.Context, address, profile string) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTime)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, entriesLimit))
	if err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	return parseEntries(address, response, data)
}

func parseEntries(address string, response *http.Response, data []byte) (entryList, error) {
	if response.StatusCode != http.StatusOK {
		return entryList{}, fmt.Errorf("entries %s: %w", address, problemOf(response, data))
	}
	var list entryList
	if err := json.Unmarshal(data, &list); err != nil {
		return entryList{}, fmt.Errorf("entries %s: %w", address, err)
	}
	if len(list.Entries) == 0 {
		return entryList{}, fmt.Errorf("entries %s: %w: none in the answer", address, ErrNoEntry)
	}
	return list, nil
}

func dialContext(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext
}

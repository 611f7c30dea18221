package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	pairs, _, err := h.readPairs(ctx, KindGet, key, url.Values{"consistent": {""}})
	if err != nil {
		return Entry{}, err
	}
	return h.firstEntry(KindGet, key, pairs)
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, error) {
	pairs, _, err := h.readPairs(ctx, KindList, prefix, url.Values{"consistent": {""}, "recurse": {""}})
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(pairs))
	for _, p := range pairs {
		entries = append(entries, newEntry(p))
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, nil
}

// Wait implements Store.
func (h *HTTP) Wait(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	index := uint64(after)
	if after == 0 {
		index = h.absentIndex(key)
	}
	query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}}
	pairs, next, err := h.readPairs(ctx, KindWait, key, query)
	if err != nil {
		return Entry{}, err
	}
	h.updateAbsentIndex(key, next, len(pairs) == 0)
	if len(pairs) == 0 && index == 0 {
		return h.Wait(ctx, key, 0, wait)
	}
	return h.firstEntry(KindWait, key, pairs)
}

func (h *HTTP) absentIndex(key string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absentIndexes[key]
}

func (h *HTTP) updateAbsentIndex(key string, index uint64, absent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if absent {
		h.absentIndexes[key] = max(index, 1)
		return
	}
	delete(h.absentIndexes, key)
}

// readPairs returns the pairs of a key or prefix, none when it is absent, and the index for
// the next blocking query.
func (h *HTTP) readPairs(ctx context.Context, kind Kind, key string, query url.Values) ([]wire.Pair, uint64, error) {
	r, err := h.doRequest(ctx, request{kind: kind, method: http.MethodGet, path: keyPath(key), query: query})
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", key, err)
	}
	index, _ := strconv.ParseUint(r.header.Get(wire.HeaderIndex), 10, 64)
	if r.status == http.StatusNotFound {
		return nil, index, nil
	}
	var pairs []wire.Pair
	if err := h.decode(kind, r.body, &pairs); err != nil {
		return nil, 0, fmt.Errorf("%s: %w", key, err)
	}
	return pairs, index, nil
}

func (h *HTTP) firstEntry(kind Kind, key string, pairs []wire.Pair) (Entry, error) {
	if len(pairs) == 0 {
		return Entry{}, fmt.Errorf("store %s %s %s: %w", h.address, kind, key, ErrNotFound)
	}
	return newEntry(pairs[0]), nil
}

func newEntry(p wire.Pair) Entry {
	return Entry{
		Key:     p.Key,
		Value:   p.Value,
		Version: Version(p.ModifyIndex),
		Lock:    LeaseID(p.Session),
		Fence:   p.LockIndex,
	}
}

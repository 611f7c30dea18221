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
	pairs, _, err := h.read(ctx, KindGet, key, url.Values{"consistent": {""}})
	if err != nil {
		return Entry{}, err
	}
	return h.first(KindGet, key, pairs)
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, error) {
	pairs, _, err := h.read(ctx, KindList, prefix, url.Values{"consistent": {""}, "recurse": {""}})
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(pairs))
	for _, p := range pairs {
		entries = append(entries, entryOf(p))
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
	pairs, next, err := h.read(ctx, KindWait, key, query)
	if err != nil {
		return Entry{}, err
	}
	h.setAbsent(key, next, len(pairs) == 0)
	if len(pairs) == 0 && index == 0 {
		return h.Wait(ctx, key, 0, wait)
	}
	return h.first(KindWait, key, pairs)
}

func (h *HTTP) absentIndex(key string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absent[key]
}

func (h *HTTP) setAbsent(key string, index uint64, absent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if absent {
		h.absent[key] = max(index, 1)
		return
	}
	delete(h.absent, key)
}

// read returns the pairs of a key or prefix, none when it is absent, and the index.
func (h *HTTP) read(ctx context.Context, kind Kind, key string, query url.Values) ([]wire.Pair, uint64, error) {
	r, err := h.send(ctx, request{kind: kind, method: http.MethodGet, path: keyPath(key), query: query})
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

func (h *HTTP) first(kind Kind, key string, pairs []wire.Pair) (Entry, error) {
	if len(pairs) == 0 {
		return Entry{}, fmt.Errorf("store %s %s %s: %w", h.address, kind, key, ErrNotFound)
	}
	return entryOf(pairs[0]), nil
}

func entryOf(p wire.Pair) Entry {
	return Entry{
		Key:     p.Key,
		Value:   p.Value,
		Version: Version(p.ModifyIndex),
		Lock:    LeaseID(p.Session),
		Fence:   p.LockIndex,
	}
}

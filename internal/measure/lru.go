package measure

import "container/list"

// lru is a size-limited cache of keys that evicts the least recently used one.
type lru struct {
	limit   int
	size    int
	recency *list.List
	items   map[int]*list.Element
}

type lruItem struct {
	key  int
	size int
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, recency: list.New(), items: make(map[int]*list.Element)}
}

// get returns the size of a key and marks it as recently used; zero when it is absent.
func (l *lru) get(key int) int {
	el, ok := l.items[key]
	if !ok {
		return 0
	}
	l.recency.MoveToFront(el)
	return el.Value.(lruItem).size
}

// has reports whether a key is present.
func (l *lru) has(key int) bool {
	_, ok := l.items[key]
	return ok
}

// put adds a key, and evicts others while the cache is above its limit.
func (l *lru) put(key, size int) {
	if l.get(key) > 0 {
		return
	}
	l.items[key] = l.recency.PushFront(lruItem{key, size})
	l.size += size
	for l.size > l.limit && l.recency.Len() > 1 {
		back := l.recency.Back()
		item := l.recency.Remove(back).(lruItem)
		delete(l.items, item.key)
		l.size -= item.size
	}
}

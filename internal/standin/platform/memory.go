package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// maxValue is the largest value the stand-in accepts, in bytes.
const maxValue = 1 << 20

// session is a lease.
type session struct {
	name     string
	ttl      time.Duration
	deadline time.Time
}

// memory is the key-value state. Leases lapse exactly at their TTL, by the
// times given to its methods.
type memory struct {
	mu        sync.Mutex
	index     uint64
	pairs     map[string]wire.Pair
	deleted   map[string]uint64 // index of the deletion
	sessions  map[string]session
	serial    int
	delay     time.Duration
	locked    map[string]time.Time // end of a key's lock delay
	listeners chan struct{}        // closed at each change
}

func newMemory(lockDelay time.Duration) *memory {
	return &memory{
		index:     1,
		pairs:     make(map[string]wire.Pair),
		deleted:   make(map[string]uint64),
		sessions:  make(map[string]session),
		delay:     lockDelay,
		locked:    make(map[string]time.Time),
		listeners: make(chan struct{}),
	}
}

// get returns a key, the index to wait on, and a channel closed at the next change.
func (m *memory) get(now time.Time, key string) (pairs []wire.Pair, index uint64, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	p, ok := m.pairs[key]
	if !ok {
		return nil, max(m.deleted[key], 1), m.listeners
	}
	return []wire.Pair{p}, p.ModifyIndex, m.listeners
}

// list returns the keys under a prefix in key order.
func (m *memory) list(now time.Time, prefix string) []wire.Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	var pairs []wire.Pair
	for k, p := range m.pairs {
		if strings.HasPrefix(k, prefix) {
			pairs = append(pairs, p)
		}
	}
	slices.SortFunc(pairs, func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs
}

// apply runs a transaction: all operations or none.
func (m *memory) apply(now time.Time, ops []wire.TxnOp) wire.TxnReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	for i, op := range ops {
		if err := m.check(now, op.KV); err != nil {
			return wire.TxnReply{Errors: []wire.TxnError{{OpIndex: i, What: err.Error()}}}
		}
	}
	m.index++
	var answer wire.TxnReply
	for _, op := range ops {
		if p, ok := m.run(op.KV); ok {
			answer.Results = append(answer.Results, wire.TxnResult{KV: p})
		}
	}
	m.notify()
	return answer
}

func (m *memory) check(now time.Time, op wire.TxnKV) error {
	p, present := m.pairs[op.Key]
	switch op.Verb {
	case wire.VerbCAS:
		if len(op.Value) > maxValue {
			return fmt.Errorf("value for key %q is too large", op.Key)
		}
		if p.ModifyIndex != op.Index {
			return fmt.Errorf("failed to set key %q, index is stale", op.Key)
		}
	case wire.VerbDeleteCAS:
		if p.ModifyIndex != op.Index {
			return fmt.Errorf("failed to delete key %q, index is stale", op.Key)
		}
	case wire.VerbCheckSession:
		if !present || p.Session != op.Session {
			return fmt.Errorf("failed session check for key %q, current session %q", op.Key, p.Session)
		}
	case wire.VerbCheckIndex, wire.VerbCheckNotExists:
		return checkSeen(op, p, present)
	case wire.VerbDeleteTree:
	case wire.VerbLock:
		return m.checkLock(now, op, p)
	default:
		return fmt.Errorf("unknown verb %q", op.Verb)
	}
	return nil
}

func checkSeen(op wire.TxnKV, p wire.Pair, present bool) error {
	if op.Verb == wire.VerbCheckNotExists && present {
		return fmt.Errorf("key %q exists", op.Key)
	}
	if op.Verb == wire.VerbCheckIndex && (!present || p.ModifyIndex != op.Index) {
		return fmt.Errorf("failed index check for key %q, current modify index %d", op.Key, p.ModifyIndex)
	}
	return nil
}

func (m *memory) checkLock(now time.Time, op wire.TxnKV, p wire.Pair) error {
	if _, ok := m.sessions[op.Session]; !ok {
		return fmt.Errorf("invalid session %q", op.Session)
	}
	if p.Session != "" && p.Session != op.Session {
		return fmt.Errorf("failed to lock key %q, lock is already held", op.Key)
	}
	if p.Session == "" && now.Before(m.locked[op.Key]) {
		return fmt.Errorf("failed to lock key %q, lock is already held (lock delay)", op.Key)
	}
	return nil
}

// run applies one checked operation and returns the key as it is then, without its value.
func (m *memory) run(op wire.TxnKV) (wire.Pair, bool) {
	p, present := m.pairs[op.Key]
	switch op.Verb {
	case wire.VerbDeleteCAS:
		if present {
			delete(m.pairs, op.Key)
			m.deleted[op.Key] = m.index
		}
		return wire.Pair{}, false
	case wire.VerbCheckNotExists:
		return wire.Pair{}, false
	case wire.VerbDeleteTree:
		m.deleteTree(op.Key)
		return wire.Pair{}, false
	case wire.VerbCheckSession, wire.VerbCheckIndex:
		p.Value = nil
		return p, true
	case wire.VerbLock:
		if p.Session != op.Session {
			p.LockIndex++
		}
		p.Session = op.Session
	}
	if !present {
		p.Key, p.CreateIndex = op.Key, m.index
	}
	p.Value, p.ModifyIndex = op.Value, m.index
	m.pairs[op.Key] = p
	p.Value = nil
	return p, true
}

func (m *memory) deleteTree(prefix string) {
	for key := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			delete(m.pairs, key)
			m.deleted[key] = m.index
		}
	}
}

func (m *memory) grant(now time.Time, name string, ttl time.Duration) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	m.serial++
	id := fmt.Sprintf("%08d-session", m.serial)
	m.sessions[id] = session{name: name, ttl: ttl, deadline: now.Add(ttl)}
	return id
}

// renew reports whether the session still lived.
func (m *memory) renew(now time.Time, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	s, ok := m.sessions[id]
	if !ok {
		return false
	}
	s.deadline = now.Add(s.ttl)
	m.sessions[id] = s
	return true
}

func (m *memory) revoke(now time.Time, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse(now)
	m.end(now, id)
}

// lapse ends the sessions that were not renewed in time.
func (m *memory) lapse(now time.Time) {
	for id, s := range m.sessions {
		if !now.Before(s.deadline) {
			m.end(now, id)
		}
	}
}

// end removes a session and frees its keys. A freed key counts as changed.
func (m *memory) end(now time.Time, id string) {
	if _, ok := m.sessions[id]; !ok {
		return
	}
	delete(m.sessions, id)
	m.index++
	for k, p := range m.pairs {
		if p.Session != id {
			continue
		}
		p.Session, p.ModifyIndex = "", m.index
		m.pairs[k] = p
		m.locked[k] = now.Add(m.delay)
	}
	m.notify()
}

// nextLapse returns when the next session lapses, at most limit after now.
func (m *memory) nextLapse(now time.Time, limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		limit = min(limit, s.deadline.Sub(now))
	}
	return max(limit, time.Millisecond)
}

func (m *memory) notify() {
	close(m.listeners)
	m.listeners = make(chan struct{})
}

package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// maxValueBytes is the size of the largest value that the stand-in accepts.
const maxValueBytes = 1 << 20

// session is a Consul session, which the platform package uses as a lease.
type session struct {
	name     string
	ttl      time.Duration
	deadline time.Time
}

// kvStore holds the keys and sessions in memory. Sessions expire exactly at their
// TTL, judged by the times passed to its methods.
type kvStore struct {
	mu           sync.Mutex
	index        uint64
	pairs        map[string]wire.Pair
	deleteIndex  map[string]uint64 // index at the deletion of a key
	sessions     map[string]session
	lastSession  int
	lockDelay    time.Duration
	lockDelayEnd map[string]time.Time // by key; it can be locked again from this time
	changed      chan struct{}        // closed and replaced at each change
}

func newKVStore(lockDelay time.Duration) *kvStore {
	return &kvStore{
		index:        1,
		pairs:        make(map[string]wire.Pair),
		deleteIndex:  make(map[string]uint64),
		sessions:     make(map[string]session),
		lockDelay:    lockDelay,
		lockDelayEnd: make(map[string]time.Time),
		changed:      make(chan struct{}),
	}
}

// get returns the pair of a key, the index for a blocking query, and a channel
// that is closed at the next change.
func (m *kvStore) get(now time.Time, key string) (pairs []wire.Pair, index uint64, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	p, ok := m.pairs[key]
	if !ok {
		return nil, max(m.deleteIndex[key], 1), m.changed
	}
	return []wire.Pair{p}, p.ModifyIndex, m.changed
}

// list returns the pairs under a prefix, sorted by key.
func (m *kvStore) list(now time.Time, prefix string) []wire.Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	var pairs []wire.Pair
	for k, p := range m.pairs {
		if strings.HasPrefix(k, prefix) {
			pairs = append(pairs, p)
		}
	}
	slices.SortFunc(pairs, func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs
}

// apply runs a transaction: all its operations, or none if a check fails.
func (m *kvStore) apply(now time.Time, ops []wire.TxnOp) wire.TxnReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	for i, op := range ops {
		if err := m.checkOp(now, op.KV); err != nil {
			return wire.TxnReply{Errors: []wire.TxnError{{OpIndex: i, What: err.Error()}}}
		}
	}
	m.index++
	var result wire.TxnReply
	for _, op := range ops {
		if p, ok := m.applyOp(op.KV); ok {
			result.Results = append(result.Results, wire.TxnResult{KV: p})
		}
	}
	m.notify()
	return result
}

func (m *kvStore) checkOp(now time.Time, op wire.TxnKV) error {
	p, present := m.pairs[op.Key]
	switch op.Verb {
	case wire.VerbCAS:
		if len(op.Value) > maxValueBytes {
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
		return checkVersion(op, p, present)
	case wire.VerbDeleteTree:
	case wire.VerbLock:
		return m.checkLock(now, op, p)
	default:
		return fmt.Errorf("unknown verb %q", op.Verb)
	}
	return nil
}

func checkVersion(op wire.TxnKV, p wire.Pair, present bool) error {
	if op.Verb == wire.VerbCheckNotExists && present {
		return fmt.Errorf("key %q exists", op.Key)
	}
	if op.Verb == wire.VerbCheckIndex && (!present || p.ModifyIndex != op.Index) {
		return fmt.Errorf("failed index check for key %q, current modify index %d", op.Key, p.ModifyIndex)
	}
	return nil
}

func (m *kvStore) checkLock(now time.Time, op wire.TxnKV, p wire.Pair) error {
	if _, ok := m.sessions[op.Session]; !ok {
		return fmt.Errorf("invalid session %q", op.Session)
	}
	if p.Session != "" && p.Session != op.Session {
		return fmt.Errorf("failed to lock key %q, lock is already held", op.Key)
	}
	if p.Session == "" && now.Before(m.lockDelayEnd[op.Key]) {
		return fmt.Errorf("failed to lock key %q, lock is already held (lock delay)", op.Key)
	}
	return nil
}

// applyOp applies an operation that checkOp has accepted. It returns the resulting
// pair without its value, or false for verbs that return none.
func (m *kvStore) applyOp(op wire.TxnKV) (wire.Pair, bool) {
	p, present := m.pairs[op.Key]
	switch op.Verb {
	case wire.VerbDeleteCAS:
		if present {
			delete(m.pairs, op.Key)
			m.deleteIndex[op.Key] = m.index
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

func (m *kvStore) deleteTree(prefix string) {
	for key := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			delete(m.pairs, key)
			m.deleteIndex[key] = m.index
		}
	}
}

func (m *kvStore) grant(now time.Time, name string, ttl time.Duration) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	m.lastSession++
	id := fmt.Sprintf("%08d-session", m.lastSession)
	m.sessions[id] = session{name: name, ttl: ttl, deadline: now.Add(ttl)}
	return id
}

// renew extends a session by its TTL. It returns false if the session does not
// exist or has expired.
func (m *kvStore) renew(now time.Time, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	s, ok := m.sessions[id]
	if !ok {
		return false
	}
	s.deadline = now.Add(s.ttl)
	m.sessions[id] = s
	return true
}

func (m *kvStore) revoke(now time.Time, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions(now)
	m.endSession(now, id)
}

// expireSessions ends the sessions that are past their deadline.
func (m *kvStore) expireSessions(now time.Time) {
	for id, s := range m.sessions {
		if !now.Before(s.deadline) {
			m.endSession(now, id)
		}
	}
}

// endSession deletes a session and releases its locks. The ModifyIndex of a
// released key changes, and its lock delay begins.
func (m *kvStore) endSession(now time.Time, id string) {
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
		m.lockDelayEnd[k] = now.Add(m.lockDelay)
	}
	m.notify()
}

// untilNextExpiry returns the time until the next session expires, limit at most.
func (m *kvStore) untilNextExpiry(now time.Time, limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		limit = min(limit, s.deadline.Sub(now))
	}
	return max(limit, time.Millisecond)
}

func (m *kvStore) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

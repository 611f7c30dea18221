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
func (kv *kvStore) get(now time.Time, key string) (pairs []wire.Pair, index uint64, changed <-chan struct{}) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	p, ok := kv.pairs[key]
	if !ok {
		return nil, max(kv.deleteIndex[key], 1), kv.changed
	}
	return []wire.Pair{p}, p.ModifyIndex, kv.changed
}

// list returns the pairs under a prefix, sorted by key.
func (kv *kvStore) list(now time.Time, prefix string) []wire.Pair {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	var pairs []wire.Pair
	for k, p := range kv.pairs {
		if strings.HasPrefix(k, prefix) {
			pairs = append(pairs, p)
		}
	}
	slices.SortFunc(pairs, func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs
}

// apply runs a transaction: all its operations, or none if a check fails.
func (kv *kvStore) apply(now time.Time, ops []wire.TxnOp) wire.TxnReply {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	for i, op := range ops {
		if err := kv.checkOp(now, op.KV); err != nil {
			return wire.TxnReply{Errors: []wire.TxnError{{OpIndex: i, What: err.Error()}}}
		}
	}
	kv.index++
	var result wire.TxnReply
	for _, op := range ops {
		if p, ok := kv.applyOp(op.KV); ok {
			result.Results = append(result.Results, wire.TxnResult{KV: p})
		}
	}
	kv.notify()
	return result
}

func (kv *kvStore) checkOp(now time.Time, op wire.TxnKV) error {
	p, present := kv.pairs[op.Key]
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
		return kv.checkLock(now, op, p)
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

func (kv *kvStore) checkLock(now time.Time, op wire.TxnKV, p wire.Pair) error {
	if _, ok := kv.sessions[op.Session]; !ok {
		return fmt.Errorf("invalid session %q", op.Session)
	}
	if p.Session != "" && p.Session != op.Session {
		return fmt.Errorf("failed to lock key %q, lock is already held", op.Key)
	}
	if p.Session == "" && now.Before(kv.lockDelayEnd[op.Key]) {
		return fmt.Errorf("failed to lock key %q, lock is already held (lock delay)", op.Key)
	}
	return nil
}

// applyOp applies an operation that checkOp has accepted. It returns the resulting
// pair without its value, or false for verbs that return none.
func (kv *kvStore) applyOp(op wire.TxnKV) (wire.Pair, bool) {
	p, present := kv.pairs[op.Key]
	switch op.Verb {
	case wire.VerbDeleteCAS:
		if present {
			delete(kv.pairs, op.Key)
			kv.deleteIndex[op.Key] = kv.index
		}
		return wire.Pair{}, false
	case wire.VerbCheckNotExists:
		return wire.Pair{}, false
	case wire.VerbDeleteTree:
		kv.deleteTree(op.Key)
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
		p.Key, p.CreateIndex = op.Key, kv.index
	}
	p.Value, p.ModifyIndex = op.Value, kv.index
	kv.pairs[op.Key] = p
	p.Value = nil
	return p, true
}

func (kv *kvStore) deleteTree(prefix string) {
	for key := range kv.pairs {
		if strings.HasPrefix(key, prefix) {
			delete(kv.pairs, key)
			kv.deleteIndex[key] = kv.index
		}
	}
}

func (kv *kvStore) grant(now time.Time, name string, ttl time.Duration) string {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	kv.lastSession++
	id := fmt.Sprintf("%08d-session", kv.lastSession)
	kv.sessions[id] = session{name: name, ttl: ttl, deadline: now.Add(ttl)}
	return id
}

// renew extends a session by its TTL. It returns false if the session does not
// exist or has expired.
func (kv *kvStore) renew(now time.Time, id string) bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	s, ok := kv.sessions[id]
	if !ok {
		return false
	}
	s.deadline = now.Add(s.ttl)
	kv.sessions[id] = s
	return true
}

func (kv *kvStore) revoke(now time.Time, id string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireSessions(now)
	kv.endSession(now, id)
}

// expireSessions ends the sessions that are past their deadline.
func (kv *kvStore) expireSessions(now time.Time) {
	for id, s := range kv.sessions {
		if !now.Before(s.deadline) {
			kv.endSession(now, id)
		}
	}
}

// endSession deletes a session and releases its locks. The ModifyIndex of a
// released key changes, and its lock delay begins.
func (kv *kvStore) endSession(now time.Time, id string) {
	if _, ok := kv.sessions[id]; !ok {
		return
	}
	delete(kv.sessions, id)
	kv.index++
	for k, p := range kv.pairs {
		if p.Session != id {
			continue
		}
		p.Session, p.ModifyIndex = "", kv.index
		kv.pairs[k] = p
		kv.lockDelayEnd[k] = now.Add(kv.lockDelay)
	}
	kv.notify()
}

// untilNextExpiry returns the time until the next session expires, limit at most.
func (kv *kvStore) untilNextExpiry(now time.Time, limit time.Duration) time.Duration {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for _, s := range kv.sessions {
		limit = min(limit, s.deadline.Sub(now))
	}
	return max(limit, time.Millisecond)
}

func (kv *kvStore) notify() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the protocol shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store. Leases run on while it is down.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	down     bool
	cuts     int // how often waiting watches were cut
	waiting  int // watches that wait
}

func newStore() *store {
	s := &store{listener: listen(), revision: 10, items: map[string]item{}, leases: map[int64]lease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /"+wire("key"), s.get)
	mux.HandleFunc("GET /"+wire("range"), s.list)
	mux.HandleFunc("GET /"+wire("watch"), s.watch)
	mux.HandleFunc("POST /"+wire("txn"), s.commit)
	mux.HandleFunc("POST /"+wire("lease"), s.grant)
	mux.HandleFunc("POST /"+wire("keep")+"/{id}", s.keep)
	mux.HandleFunc("DELETE /"+wire("leaseEnd")+"/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.expire()
		s.mu.Unlock()
		if down {
			reset(w)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setDown makes the store reset the connections of all calls, or serve again. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.cuts++
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.removeKey(key)
		}
	}
}

// put writes a key for the operator or a runner. It reports false while the store is down.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.putItem(key, value, 0)
	return true
}

// remove removes a key, also while the store is down to its callers, as when an entry expires.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeKey(key)
}

func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) putItem(key string, value []byte, id int64) {
	s.revision++
	i := s.items[key]
	i.Key, i.Value, i.Revision, i.Lease = key, value, s.revision, id
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	all := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get(wire("prefix"))) && key > q.Get("after") {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"items": all, "truncated": false, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	cuts := s.cuts
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		s.expire()
		events, revision, cut := []item{}, s.revision, s.cuts != cuts
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get(wire("prefix"))) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case len(events) > 0 || !time.Now().Before(deadline):
			reply(w, map[string]any{"events": events, "asOf": revision})
			return
		case r.Context().Err() != nil:
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	states, conflict := []item{}, false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		states = append(states, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": states})
		return
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, wire("entries")) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, i := range t.Writes {
		s.putItem(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.removeKey(key)
	}
	reply(w, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	reply(w, map[string]int64{"lease": s.revision, "ttlMs": q.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, struct{}{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

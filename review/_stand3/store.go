package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"` // its name on the wire is in names.txt
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address  string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{} // closed at each change
}

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s := &store{
		address: l.Addr().String(), listener: l, revision: 100, items: make(map[string]item), leases: make(map[int64]lease),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("get"), s.get)
	mux.HandleFunc("GET "+wire("list"), s.list)
	mux.HandleFunc("GET "+wire("watch"), s.watch)
	mux.HandleFunc("POST "+wire("write"), s.commit)
	mux.HandleFunc("POST "+wire("grant"), s.grant)
	mux.HandleFunc("POST "+wire("keep")+"{id}", s.keep)
	mux.HandleFunc("DELETE "+wire("end-lease")+"{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond) // an answer takes as long
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// put writes a key for the operator or a runner and returns the revision: the acknowledgement.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
	return s.revision
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.add(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) add(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
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
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get(wire("prefix"))) {
			items = append(items, i)
		}
	}
	reply(w, map[string]any{"items": items, "truncated": false, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get(wire("prefix"))) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-over:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected, Writes []item
		Remove           []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
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

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	reply(w, struct{}{})
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		fail("encode an answer: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(bytes.ReplaceAll(text, []byte(`"created":`), []byte(`"`+wire("created")+`":`)))
}

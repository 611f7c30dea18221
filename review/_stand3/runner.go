package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a runner has begun to work on.
type run struct {
	runner, service          string
	id, method, target, host string // as on the request line and in the Host header that it got
}

// runners are the runners of all services, and what they have run.
type runners struct {
	store *store
	mu    sync.Mutex
	runs  []run
}

// start starts a runner that registers itself and writes its entry again each 1.2 s.
func (rs *runners) start(id, service, zone string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	born := time.Now().UnixMilli()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rs.serve(w, r, id, service) }))
	}()
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6,
		"state": "ready", "coldLeftMs": 0, "seq": 0, "born": born,
	})
	rs.store.put(wire("entries")+id, entry)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			rs.store.put(wire("entries")+id, entry)
		}
	}()
}

func (rs *runners) serve(w http.ResponseWriter, r *http.Request, id, service string) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		return
	}
	request := r.Header.Get("Request-Id")
	if request == "" {
		w.Header().Set(wire("not-run"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Id", request)
	if expect := r.Header.Get(wire("expect")); expect != "" && expect != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set(wire("not-run"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rs.mu.Lock()
	rs.runs = append(rs.runs, run{
		runner: id, service: service, id: request, method: r.Method, target: r.RequestURI, host: r.Host,
	})
	rs.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	w.Header().Set(wire("seal"), id+"."+request)
	_, _ = fmt.Fprintf(w, "done %s", request)
}

// of returns the runs of a request.
func (rs *runners) of(request string) []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var all []run
	for _, r := range rs.runs {
		if r.id == request {
			all = append(all, r)
		}
	}
	return all
}

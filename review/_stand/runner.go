package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// loadTime is how long a load from the weight store takes.
	loadTime = 3800 * time.Millisecond
	// expiry is after which silence the platform removes a runner's entry.
	expiry = 3 * heartbeat
)

// arrival is a request that reached a runner.
type arrival struct {
	at     time.Time
	id     string
	runner string
	body   string
}

// runner is a stand-in of one model runner or of one endpoint of a plain service.
type runner struct {
	id, service, zone string
	models            []string
	slots             int
	born              int64
	work              time.Duration // of a plain request
	listener          net.Listener
	server            *http.Server
	store             *store
	record            *record

	mu       sync.Mutex
	state    string // ready or draining
	listed   bool   // it writes its entry
	beatAt   time.Time
	backAt   time.Time // when it writes again after an outage of the store
	gone     bool
	running  int
	seq      int64
	busy     bool // an order for a model is carried out
	arrivals []arrival
	adapters map[string][]string
	eventGap time.Duration
	events   int
	// prefillUntil is when the prompts that have arrived are read: an engine reads them one after another.
	prefillUntil time.Time
}

// tokensPerMS is how many prompt tokens an engine reads in a millisecond.
const tokensPerMS = 38.1

func newRunner(s *store, r *record, id, service, zone string, slots int, models ...string) *runner {
	n := &runner{
		id: id, service: service, zone: zone, models: models, slots: slots, born: time.Now().UnixMilli(), work: 15 * time.Millisecond,
		listener: listen(), store: s, record: r, state: "ready", listed: true, adapters: map[string][]string{}, events: 4, eventGap: 20 * time.Millisecond,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", n.report)
	mux.HandleFunc("POST /order", n.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", n.id) })
	mux.HandleFunc("/", n.run)
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(n.listener) }()
	n.beat()
	go n.beatForever()
	return n
}

// beatForever writes the entry about every heartbeat. The platform removes it after three heartbeats of
// silence, also while the store is down. A runner whose entry has expired meanwhile writes it
// again within two seconds of the store's return.
func (n *runner) beatForever() {
	for {
		time.Sleep(50 * time.Millisecond)
		n.mu.Lock()
		gone, listed, at := n.gone, n.listed, n.beatAt
		n.mu.Unlock()
		if gone {
			return
		}
		if !listed {
			continue
		}
		if time.Since(at) > expiry {
			n.store.remove(wire("entries") + n.id)
			n.store.mu.Lock()
			down := n.store.down
			n.store.mu.Unlock()
			n.mu.Lock()
			if down {
				n.backAt = time.Time{}
			} else if n.backAt.IsZero() {
				n.backAt = time.Now().Add(1300*time.Millisecond + time.Duration(rand.Int64N(int64(600*time.Millisecond))))
			}
			ready := !n.backAt.IsZero() && time.Now().After(n.backAt)
			n.mu.Unlock()
			if !ready {
				continue
			}
			if n.beat() {
				n.record.logf("entry of %s is back in the store", n.id)
			}
			continue
		}
		if time.Since(at) >= heartbeat-50*time.Millisecond {
			n.beat()
		}
	}
}

func (n *runner) holdings() []map[string]any {
	all := []map[string]any{}
	for _, m := range n.models {
		adapters := n.adapters[m]
		if adapters == nil {
			adapters = []string{}
		}
		all = append(all, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return all
}

func (n *runner) beat() bool {
	n.mu.Lock()
	value, _ := json.Marshal(map[string]any{
		"service": n.service, "address": n.listener.Addr().String(), "zone": n.zone, "version": "v1", "slots": n.slots, "state": n.state,
		"coldLeftMs": 0, "stage": "both", "models": n.holdings(), "seq": n.seq, "born": n.born,
	})
	n.mu.Unlock()
	if !n.store.put(wire("entries")+n.id, value) {
		return false
	}
	n.mu.Lock()
	n.beatAt = time.Now()
	n.mu.Unlock()
	return true
}

// drain reports that the runner leaves, and returns when the store has accepted that.
func (n *runner) drain() time.Time {
	n.mu.Lock()
	n.state = "draining"
	n.mu.Unlock()
	n.beat()
	return time.Now()
}

// leaveSilently has the entry removed without a report of draining, and returns when.
func (n *runner) leaveSilently() time.Time {
	n.mu.Lock()
	n.listed = false
	n.mu.Unlock()
	n.store.remove(wire("entries") + n.id)
	return time.Now()
}

// exit ends the runner as a process that exits: its connections end.
func (n *runner) exit() {
	n.mu.Lock()
	n.gone = true
	n.mu.Unlock()
	n.store.remove(wire("entries") + n.id)
	_ = n.server.Close()
}

func (n *runner) report(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply(w, map[string]any{
		"stage": "both", "models": n.holdings(), "busy": n.busy, "seq": n.seq, "born": n.born, "state": n.state,
		"queued": 0, "running": n.running, "kvUsed": 0, "kvTotal": 250000, "handles": 0, "runs": []any{}, "coming": []string{},
	})
}

func (n *runner) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType, Model, Adapter, Holder string
		Expected                       *int64
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	n.mu.Lock()
	defer n.mu.Unlock()
	if o.Expected != nil && *o.Expected != n.seq || n.busy {
		w.WriteHeader(http.StatusConflict)
		return
	}
	n.seq++
	switch {
	case o.OpType == "load" && o.Adapter != "":
		n.adapters[o.Model] = append(n.adapters[o.Model], o.Adapter)
	case o.OpType == "load":
		n.busy = true
		time.AfterFunc(loadTime, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.busy, n.models = false, append(slices.Clone(n.models), o.Model)
			n.record.logf("%s has loaded %s", n.id, o.Model)
		})
	case o.OpType == "unload" && o.Adapter == "":
		n.models = slices.DeleteFunc(slices.Clone(n.models), func(m string) bool { return m == o.Model })
	}
	w.WriteHeader(http.StatusAccepted)
}

func (n *runner) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expect := r.Header.Get(wire("expect")); expect != "" && expect != n.id {
		w.Header().Set("Instance-Id", n.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	n.arrivals = append(n.arrivals, arrival{at: time.Now(), id: id, runner: n.id, body: string(body)})
	n.running++
	events, gap, work := n.events, n.eventGap, n.work
	tokens, _, _ := strings.Cut(r.Header.Get(wire("tokens")), ",")
	prompt, _ := strconv.Atoi(tokens)
	if now := time.Now(); n.prefillUntil.Before(now) {
		n.prefillUntil = now
	}
	n.prefillUntil = n.prefillUntil.Add(time.Duration(float64(prompt) / tokensPerMS * float64(time.Millisecond)))
	read := n.prefillUntil
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.running--
		n.mu.Unlock()
	}()
	w.Header().Set(wire("seal"), n.id+"."+id)
	if r.Header.Get("Model") == "" {
		time.Sleep(work)
		_, _ = fmt.Fprintf(w, "done %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(time.Until(read))
	for e := after + 1; e <= events; e++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", e, e, strings.TrimSpace(id))
		_ = http.NewResponseController(w).Flush()
		if e < events {
			time.Sleep(gap)
		}
	}
}

// reached returns the requests that have reached the runner.
func (n *runner) reached() []arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]arrival(nil), n.arrivals...)
}

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner. What arrives and runs there goes to its log, a line each.
type runner struct {
	id, service, address, control string
	load                          time.Duration // how long a load from the weight store takes
	unframed                      int64         // one stream in so many has no length and ends with its connection, 0 for none
	streams                       atomic.Int64
	events                        int
	interval                      time.Duration
	born                          int64
	running                       atomic.Int64

	mu       sync.Mutex
	log      *os.File
	held     []string // models
	atHand   []string // models whose weights are on its disk
	seq      int64    // orders accepted
	ordering bool     // an order is being carried out
}

func serveRunner(args []string) error {
	r := &runner{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.address, "listen", "", "")
	flags.StringVar(&r.control, "control", "", "the store's control address")
	flags.DurationVar(&r.load, "load", 4*time.Second, "how long a load from the weight store takes")
	models := flags.String("models", "", "the models that it holds at first, with commas between them")
	flags.Int64Var(&r.unframed, "unframed", 0, "one stream in so many has no length and ends with its connection")
	flags.IntVar(&r.events, "events", 10, "events of a stream")
	flags.DurationVar(&r.interval, "interval", 100*time.Millisecond, "time between two events")
	log := flags.String("log", "", "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *models != "" {
		r.held = strings.Split(*models, ",")
		r.atHand = slices.Clone(r.held)
	}
	var err error
	if r.log, err = os.OpenFile(*log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("/", r.serve)
	go r.register()
	return http.Serve(l, mux)
}

func (r *runner) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.log, "%s %s %s\n", time.Now().Format(timeForm), r.id, fmt.Sprintf(format, args...))
}

// describe adds what the runner says of itself to a report or an entry.
func (r *runner) describe(text map[string]any) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := []map[string]any{}
	for _, m := range r.held {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	text["models"], text["seq"], text["born"], text["state"] = models, r.seq, r.born, "ready"
	text["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": slices.Clone(r.atHand)}
	text["busy"] = r.ordering
	encoded, _ := json.Marshal(text)
	return encoded
}

// register writes the runner's entry at each heartbeat.
func (r *runner) register() {
	for ; ; time.Sleep(heartbeat) {
		entry := r.describe(map[string]any{"service": r.service, "address": r.address, "zone": "a", "version": "v1", "slots": 64, "coldLeftMs": 0})
		response, err := http.Post("http://"+r.control+"/set?key="+url.QueryEscape(names["entries"]+r.id), "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(r.describe(map[string]any{
		"stage": "both", "queued": 0, "running": r.running.Load(), "kvUsed": 0, "kvTotal": 250000, "handles": 0,
	}))
}

// order carries out an order to load or unload a model, as the pages tell.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Model    string `json:"model"`
		Expected *int64 `json:"expected"`
		Holder   string `json:"holder"`
	}
	fields := make(map[string]any)
	text, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(text, &o) != nil || json.Unmarshal(text, &fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	op, _ := fields[names["op"]].(string)
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := slices.Contains(r.held, o.Model)
	expected := q.Header.Get(names["expect"])
	status := http.StatusAccepted
	switch {
	case expected != "" && expected != r.id:
		w.Header().Set("Instance-Id", r.id)
		status = http.StatusMisdirectedRequest
	case r.ordering || o.Expected != nil && *o.Expected != r.seq:
		status = http.StatusConflict
	case holds == (op == "load"):
		status = http.StatusOK
	default:
		r.seq++
		r.ordering = true
		go r.carryOut(op, o.Model)
	}
	if status == http.StatusAccepted {
		store := op == "load" && !slices.Contains(r.atHand, o.Model)
		r.write("order %s %s from %s, from the weight store %t", op, o.Model, o.Holder, store)
	}
	w.WriteHeader(status)
}

func (r *runner) carryOut(op, model string) {
	r.mu.Lock()
	wait := r.load
	switch {
	case op == "unload":
		wait = 0
	case slices.Contains(r.atHand, model):
		wait /= 5
	}
	r.mu.Unlock()
	time.Sleep(wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordering = false
	if op == "unload" {
		r.held = slices.DeleteFunc(r.held, func(m string) bool { return m == model })
		return
	}
	r.held = append(r.held, model)
	if !slices.Contains(r.atHand, model) {
		r.atHand = append(r.atHand, model)
	}
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	id := q.Header.Get("Request-Id")
	switch expected := q.Header.Get(names["expect"]); {
	case err != nil:
		return
	case expected != "" && expected != r.id:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.write("run %s after=%q bytes=%d", id, q.Header.Get("Last-Event-Id"), len(body))
	w.Header().Set("Request-Id", id)
	w.Header().Set(names["seal"], r.id+"."+id)
	if strings.HasPrefix(q.URL.Path, "/chat/") {
		r.stream(w, q, id)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "done %s by %s", id, r.service)
	r.write("end %s", id)
}

// stream answers with events, each as it is made. Unframed, the answer has neither a length nor chunks.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	out, flush := io.Writer(w), func() error { return http.NewResponseController(w).Flush() }
	if r.unframed > 0 && r.streams.Add(1)%r.unframed == 0 {
		r.write("unframed %s", id)
		w.Header().Set("Connection", "close")
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(buffered, "HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(buffered)
		_, _ = io.WriteString(buffered, "\r\n")
		out, flush = buffered, buffered.Flush
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= r.events; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %d\n\n", n, n, r.events)
		if flush() != nil {
			r.write("left %s at %d", id, n)
			return
		}
		time.Sleep(r.interval)
	}
	r.write("end %s", id)
}

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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner. What arrives and runs there goes to its log, a line each.
type runner struct {
	id, service, address, control string
	model                         string
	unframed                      int64 // one stream in so many has no length and ends with its connection, 0 for none
	streams                       atomic.Int64
	events                        int
	interval                      time.Duration
	born                          int64
	seq                           atomic.Int64
	running                       atomic.Int64

	mu  sync.Mutex
	log *os.File
}

func serveRunner(args []string) error {
	r := &runner{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.address, "listen", "", "")
	flags.StringVar(&r.control, "control", "", "the store's control address")
	flags.StringVar(&r.model, "model", "", "the model that it holds, empty for a plain service")
	flags.Int64Var(&r.unframed, "unframed", 0, "one stream in so many has no length and ends with its connection")
	flags.IntVar(&r.events, "events", 10, "events of a stream")
	flags.DurationVar(&r.interval, "interval", 100*time.Millisecond, "time between two events")
	log := flags.String("log", "", "")
	if err := flags.Parse(args); err != nil {
		return err
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
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.log, "%s %s %s\n", time.Now().Format(timeForm), r.id, fmt.Sprintf(format, args...))
}

func (r *runner) models() []map[string]any {
	if r.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.model, "version": 1, "adapters": []string{}}}
}

// register writes the runner's entry at each heartbeat.
func (r *runner) register() {
	for ; ; time.Sleep(heartbeat) {
		entry, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready",
			"coldLeftMs": 0, "seq": r.seq.Load(), "born": r.born, "models": r.models(),
		})
		response, err := http.Post("http://"+r.control+"/set?key="+url.QueryEscape("servers/"+r.id), "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "seq": r.seq.Load(), "born": r.born, "queued": 0,
		"running": r.running.Load(), "kvUsed": 0, "kvTotal": 250000, "handles": 0, "state": "ready",
	})
}

// order takes no order: each runner holds what it has been given.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	text, _ := io.ReadAll(q.Body)
	r.write("order %s", text)
	w.WriteHeader(http.StatusConflict)
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	id := q.Header.Get("Request-Id")
	switch expected := q.Header.Get("Expect-Instance"); {
	case err != nil:
		return
	case expected != "" && expected != r.id:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(q.URL.Path, "/boom") {
		r.write("run %s boom", id)
		time.Sleep(10 * time.Millisecond)
		os.Exit(3)
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.write("run %s after=%q bytes=%d", id, q.Header.Get("Last-Event-Id"), len(body))
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", r.id+"."+id)
	if strings.HasPrefix(q.URL.Path, "/chat/") {
		r.stream(w, q, id)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "done %s", id)
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

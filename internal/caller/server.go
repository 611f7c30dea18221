package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Gateway runs requests and writes their answers to a sink.
type Gateway interface {
	Serve(context.Context, peer.Request, peer.Sink) *peerpb.End
	Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End
}

// Entry is one instance that callers may send requests to.
type Entry struct {
	Address    string           `json:"address"`
	Region     fleet.Region     `json:"region"`
	DataCentre fleet.DataCentre `json:"datacentre"`
	Instance   fleet.Instance   `json:"instance"`
}

// Entries is the response to GET /v1/entries. Keep is how long callers may cache it.
type Entries struct {
	Entries []Entry `json:"entries"`
	Keep    string  `json:"keep"`
}

// Fleet lists the instances and models that callers can use.
type Fleet interface {
	Entries(profile, key string) []Entry
	Models(profile string) []string
}

// slotTimeout is how long a request that gives way to another one may take to end.
const slotTimeout = time.Second

// Limits bounds the resources that callers may use.
type Limits struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Bodies is the memory of the bodies of all requests in bytes, 0 for no limit.
	Bodies int64
	// MaxInFlight is the maximum number of concurrent requests to the instance.
	MaxInFlight int
	// WriteTimeout is the maximum duration of one write to a caller, and of one read of
	// a request body.
	WriteTimeout time.Duration
	// EntriesMaxAge is how long callers may cache a response to GET /v1/entries.
	EntriesMaxAge time.Duration
}

// Server serves the HTTP API for callers.
type Server struct {
	self    fleet.Instance
	gateway Gateway
	fleet   Fleet
	limits  Limits
	slots   chan struct{}
	bodies  bodies
	tracer  trace.Tracer
	carrier propagation.TraceContext
}

// New returns the server of an instance.
func New(self fleet.Instance, gateway Gateway, f Fleet, limits Limits) *Server {
	return &Server{
		self:    self,
		gateway: gateway,
		fleet:   f,
		limits:  limits,
		slots:   make(chan struct{}, limits.MaxInFlight),
		bodies:  bodies{limit: limits.Bodies},
		tracer:  otel.Tracer("github.com/chiveramp/chiveramp/internal/caller"),
	}
}

// Handler returns the HTTP handler with all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/chat/completions", s.admit(s.chat))
	mux.HandleFunc("/services/{name}/{rest...}", s.admit(s.service))
	mux.HandleFunc("/", notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/") { // such as CONNECT, for which ServeMux would write a response without our error body
			notFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, "", refusal(CodeNotFound, "route", "no "+r.Method+" "+r.URL.Path))
}

func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == "" {
		key = r.RemoteAddr
	}
	answer := Entries{
		Entries: s.fleet.Entries(r.URL.Query().Get("profile"), key),
		Keep:    s.limits.EntriesMaxAge.String(),
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(s.limits.EntriesMaxAge.Seconds())))
	_ = json.NewEncoder(w).Encode(answer)
}

// modelCard is one model in the OpenAI list of models.
type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	list := modelList{Object: "list", Data: []modelCard{}}
	for _, name := range s.fleet.Models(r.Header.Get(HeaderProfile)) {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", Owner: "chiveramp"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// takeSlot reports whether a request may run. Over the limit of concurrent requests, one whose body is arriving
// slowly gives way to it.
func (s *Server) takeSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.bodies.yieldSlot() {
		return false
	}
	timeout := time.NewTimer(slotTimeout)
	defer timeout.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timeout.C:
		return false
	}
}

// admit returns a handler that assigns the request id, refuses requests over the limit of
// concurrent requests, and starts the request's span.
func (s *Server) admit(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderInstance, string(s.self))
		requestID, end := readRequestID(w, r)
		if end != nil {
			writeError(w, requestID, end)
			return
		}
		if !s.takeSlot() {
			writeError(w, requestID, refuseBusy("accept", "the instance is at its limit of requests in flight"))
			return
		}
		defer func() { <-s.slots }()
		ctx := s.carrier.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, "caller.request", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("chiveramp.request", requestID)))
		defer span.End()
		next(w, r.WithContext(ctx), requestID)
	}
}

// Limits of request headers.
const (
	// maxRequestID is the maximum length of a request id in bytes. The decision log is
	// indexed by it.
	maxRequestID = 128
	// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
	maxIdempotencyKey = 256
	// maxDeadline is the maximum remaining time in milliseconds; larger values are
	// reduced to it. This has no effect on the request, since the profile's deadline
	// is earlier.
	maxDeadline = int64(24 * time.Hour / time.Millisecond)
)

// readRequestID returns the request's id, or a generated one, and sets it as a response
// header. It refuses an id or idempotency key that is too long to be stored.
func readRequestID(w http.ResponseWriter, r *http.Request) (string, *peerpb.End) {
	requestID := r.Header.Get(HeaderRequest)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	if end := checkLength(HeaderRequest, requestID, maxRequestID); end != nil {
		return "", end
	}
	w.Header().Set(HeaderRequest, requestID)
	return requestID, checkLength(HeaderKey, r.Header.Get(HeaderKey), maxIdempotencyKey)
}

func checkLength(header, value string, limit int) *peerpb.End {
	if len(value) <= limit {
		return nil
	}
	return refusal(CodeBadHeader, "read headers", fmt.Sprintf("%s of %d bytes: want %d at most", header, len(value), limit))
}

// readDeadline converts the remaining milliseconds of the deadline header to a Unix time
// in milliseconds, 0 without the header.
func readDeadline(r *http.Request) (int64, *peerpb.End) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining <= 0 {
		return 0, refusal(CodeBadHeader, "read headers", fmt.Sprintf("%s %.32q: want milliseconds left, above 0", HeaderDeadline, text))
	}
	remaining = min(remaining, maxDeadline)
	return time.Now().Add(time.Duration(remaining) * time.Millisecond).UnixMilli(), nil
}

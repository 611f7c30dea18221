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

// Gateway answers requests.
type Gateway interface {
	Serve(context.Context, peer.Request, peer.Sink) *peerpb.End
	Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End
}

// Entry is one instance that callers may use.
type Entry struct {
	Address    string           `json:"address"`
	Region     fleet.Region     `json:"region"`
	DataCentre fleet.DataCentre `json:"datacentre"`
	Instance   fleet.Instance   `json:"instance"`
}

// Entries answers GET /v1/entries. Keep is how long callers may use the answer.
type Entries struct {
	Entries []Entry `json:"entries"`
	Keep    string  `json:"keep"`
}

// Fleet tells callers where to go and what there is.
type Fleet interface {
	Entries(profile, key string) []Entry
	Models(profile string) []string
}

// Limits bound what one caller may take.
type Limits struct {
	// Body is the largest request body, bytes.
	Body int64
	// Streams is the most requests at once.
	Streams int
	// Write is how long one write to a caller may take.
	Write time.Duration
	// Keep is how long callers may keep an answer to GET /v1/entries.
	Keep time.Duration
}

// Server is the handler of the callers' side.
type Server struct {
	self    fleet.Instance
	gateway Gateway
	fleet   Fleet
	limits  Limits
	slots   chan struct{}
	tracer  trace.Tracer
	carrier propagation.TraceContext
}

// New returns the handler of an instance.
func New(self fleet.Instance, gateway Gateway, f Fleet, limits Limits) *Server {
	return &Server{
		self:    self,
		gateway: gateway,
		fleet:   f,
		limits:  limits,
		slots:   make(chan struct{}, limits.Streams),
		tracer:  otel.Tracer("github.com/chiveramp/chiveramp/internal/caller"),
	}
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/chat/completions", s.limited(s.chat))
	mux.HandleFunc("/services/{name}/{rest...}", s.limited(s.service))
	mux.HandleFunc("/", unrouted)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/") { // as of CONNECT, which the routes answer without an error of ours
			unrouted(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func unrouted(w http.ResponseWriter, r *http.Request) {
	fail(w, "", refuse(CodeNotFound, "route", "no "+r.Method+" "+r.URL.Path))
}

func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == "" {
		key = r.RemoteAddr
	}
	answer := Entries{
		Entries: s.fleet.Entries(r.URL.Query().Get("profile"), key),
		Keep:    s.limits.Keep.String(),
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(s.limits.Keep.Seconds())))
	_ = json.NewEncoder(w).Encode(answer)
}

// model is one row of the usual list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range s.fleet.Models(r.Header.Get(HeaderProfile)) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "chiveramp"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// limited refuses at once what is over the number of requests at once, and
// opens the span of the request.
func (s *Server) limited(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderInstance, string(s.self))
		request, end := named(w, r)
		if end != nil {
			fail(w, request, end)
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			end := refuse(CodeBusy, "accept", "the instance has all its requests in flight")
			end.Retry = uint32(time.Second.Milliseconds())
			fail(w, request, end)
			return
		}
		ctx := s.carrier.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, "caller.request", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("chiveramp.request", request)))
		defer span.End()
		next(w, r.WithContext(ctx), request)
	}
}

// Limits of headers.
const (
	// requestLimit is the longest id of a request, bytes: decisions are kept under it.
	requestLimit = 128
	// keyLimit is the longest idempotency key, bytes.
	keyLimit = 256
	// deadlineLimit is the longest time that counts, milliseconds. More changes
	// nothing: the profile's deadline comes first.
	deadlineLimit = int64(24 * time.Hour / time.Millisecond)
)

// named returns the request's id, which the answer carries too. An id or key that
// can't be kept is refused before anything is done for it.
func named(w http.ResponseWriter, r *http.Request) (string, *peerpb.End) {
	request := r.Header.Get(HeaderRequest)
	if request == "" {
		request = uuid.NewString()
	}
	if end := tooLong(HeaderRequest, request, requestLimit); end != nil {
		return "", end
	}
	w.Header().Set(HeaderRequest, request)
	return request, tooLong(HeaderKey, r.Header.Get(HeaderKey), keyLimit)
}

func tooLong(header, value string, limit int) *peerpb.End {
	if len(value) <= limit {
		return nil
	}
	return refuse(CodeBadValue, "read headers", fmt.Sprintf("%s of %d bytes: want %d at most", header, len(value), limit))
}

// deadline reads the milliseconds that the caller has left.
func deadline(r *http.Request) (int64, *peerpb.End) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left <= 0 {
		return 0, refuse(CodeBadValue, "read headers", fmt.Sprintf("%s %.32q: want milliseconds left, above 0", HeaderDeadline, text))
	}
	left = min(left, deadlineLimit)
	return time.Now().Add(time.Duration(left) * time.Millisecond).UnixMilli(), nil
}

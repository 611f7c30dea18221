package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/chiveramp/chiveramp/internal/keys"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	// maxBodyBytes leaves room for JSON escaping of the largest document.
	maxBodyBytes      = 2*profile.Limit + 4096
	maxHeaderBytes    = 16 << 10 // bytes
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
	defaultRate       = 50  // requests per second
	defaultBurst      = 100 // requests
)

// Server is the HTTP handler of the operator API.
type Server struct {
	backend        Backend
	token          [sha256.Size]byte
	findKey        func(token string) (keys.Key, bool)
	allowedLimiter *rate.Limiter // calls with a valid token
	deniedLimiter  *rate.Limiter // all other calls
	logger         log.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithToken sets the shared token, which has the edit role. With neither it nor WithKeys,
// every call is denied.
func WithToken(token string) Option {
	return func(s *Server) { s.token = sha256.Sum256([]byte(token)) }
}

// WithKeys sets the lookup of an operator's key by token.
func WithKeys(find func(token string) (keys.Key, bool)) Option {
	return func(s *Server) { s.findKey = find }
}

// WithRate sets the rate limit. Calls without a valid token have a separate limiter
// of the same size, so that they can't use up the operators' rate.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Server) {
		s.allowedLimiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		s.deniedLimiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
}

// WithLogger sets the logger of applied changes and failed calls.
func WithLogger(l log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// NewServer returns the handler of the operator API.
func NewServer(b Backend, options ...Option) http.Handler {
	s := &Server{backend: b, logger: log.NewNopLogger(), findKey: noKeys}
	WithRate(defaultRate, defaultBurst)(s)
	for _, o := range options {
		o(s)
	}
	return s.guard(s.routes())
}

func noKeys(string) (keys.Key, bool) { return keys.Key{}, false }

// NewHTTPServer returns an HTTP server with timeouts and a header limit. t holds the
// TLS settings, or is nil for plain HTTP.
func NewHTTPServer(listen string, t *tls.Config, h http.Handler) *http.Server {
	return &http.Server{
		Addr:              listen,
		Handler:           h,
		TLSConfig:         t,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/document", s.document)
	mux.HandleFunc("PUT /v1/document", s.apply)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/profiles", s.profiles)
	mux.HandleFunc("GET /v1/requests/{request}", s.explain)
	mux.HandleFunc("POST /v1/instances/{instance}/drain", s.drain)
	mux.HandleFunc("/", s.unknownRoute)
	return mux
}

// guard authenticates and rate-limits each call before any other work is done.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, allowed := s.authenticate(r)
		limiter := s.deniedLimiter
		if allowed {
			limiter = s.allowedLimiter
		}
		switch {
		case !limiter.Allow():
			w.Header().Set("Retry-After", "1")
			writeJSON(w, http.StatusTooManyRequests, &CallError{Code: CodeTooMany, Step: "guard", Message: "too many calls"})
		case !allowed:
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.respondError(w, r, &CallError{Code: CodeDenied, Step: "guard", Message: "token missing or wrong"})
		case key.Role != keys.RoleEdit && r.Method != http.MethodGet:
			s.respondError(w, r, &CallError{Code: CodeForbidden, Step: "guard", Message: fmt.Sprintf("key %s is read-only (role %s)", key.Name, key.Role)})
		default:
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyContextKey{}, key)))
		}
	})
}

// keyContextKey is the context key of the operator's key.
type keyContextKey struct{}

// authenticate returns the key for the request's bearer token. The key of the shared
// token has no name. That token is compared by digest in constant time, so that timing
// reveals neither its length nor its content.
func (s *Server) authenticate(r *http.Request) (keys.Key, bool) {
	presented, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || presented == "" {
		return keys.Key{}, false
	}
	digest := sha256.Sum256([]byte(presented))
	if subtle.ConstantTimeCompare(digest[:], s.token[:]) == 1 {
		return keys.Key{Role: keys.RoleEdit}, true
	}
	return s.findKey(presented)
}

func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	d, err := s.backend.Document(r.Context())
	s.respond(w, r, "document", d, err)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	const step = "apply"
	e, err := readEdit(r)
	if err != nil {
		s.respondError(w, r, newInvalidError(step, err))
		return
	}
	if key, _ := r.Context().Value(keyContextKey{}).(keys.Key); key.Name != "" {
		e.Author = key.Name // the name on the key overrides the one in the request
	}
	if _, err := profile.Parse("document", []byte(e.Text)); err != nil {
		s.respondError(w, r, newCallError(step, err))
		return
	}
	result, err := s.backend.Apply(r.Context(), e)
	if err == nil {
		_ = level.Info(s.logger).Log("msg", "document applied", "revision", result.Revision, "author", e.Author)
	}
	s.respond(w, r, step, result, err)
}

func readEdit(r *http.Request) (Edit, error) {
	var e Edit
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Edit{}, fmt.Errorf("read edit: %w", err)
	}
	return e, nil
}

// newInvalidError classifies every error as invalid input, except a body that is too large.
func newInvalidError(step string, err error) *CallError {
	p := newCallError(step, err)
	if p.Code != CodeTooLarge {
		p.Code = CodeInvalid
	}
	return p
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	v, err := s.backend.Status(r.Context())
	s.respond(w, r, "status", v, err)
}

func (s *Server) profiles(w http.ResponseWriter, r *http.Request) {
	v, err := s.backend.Profiles(r.Context())
	s.respond(w, r, "profiles", v, err)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	v, err := s.backend.Explain(r.Context(), r.PathValue("request"))
	s.respond(w, r, "explain", v, err)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("instance")
	v, err := s.backend.Drain(r.Context(), name)
	if err == nil {
		_ = level.Info(s.logger).Log("msg", "drain of instance started", "drained", name)
	}
	s.respond(w, r, "drain", v, err)
}

func (s *Server) unknownRoute(w http.ResponseWriter, r *http.Request) {
	s.respondError(w, r, &CallError{Code: CodeNotFound, Step: "route", Message: fmt.Sprintf("no %s %s", r.Method, r.URL.Path)})
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, step string, v any, err error) {
	if err != nil {
		s.respondError(w, r, newCallError(step, err))
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) respondError(w http.ResponseWriter, r *http.Request, p *CallError) {
	_ = level.Warn(s.logger).Log("msg", "operator call failed", "code", p.Code, "step", p.Step, "err", p.Message, "peer", r.RemoteAddr)
	writeJSON(w, p.status(), p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// AsCallError returns the CallError that err wraps, if any.
func AsCallError(err error) (*CallError, bool) {
	var p *CallError
	found := errors.As(err, &p)
	return p, found
}

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/bounded"
	"github.com/chiveramp/chiveramp/internal/httpconn"
)

const (
	// maxReplyBytes bounds a response body, maxHeadBytes its status line and header.
	maxReplyBytes = 64 << 20
	maxHeadBytes  = 64 << 10
	// maxCommitWrites limits the number of writes in one Commit.
	maxCommitWrites = 64
)

var _ Store = (*HTTP)(nil)

// HTTP is a Store over Consul's HTTP API.
type HTTP struct {
	address string
	token   string
	client  *http.Client
	counter *Counter

	mu            sync.Mutex
	absentIndexes map[string]uint64 // by absent key: the index to pass to the next blocking query
}

// Option configures an HTTP store.
type Option func(*HTTP)

// WithClient sets the HTTP client, such as one that uses TLS.
func WithClient(client *http.Client) Option {
	return func(h *HTTP) { h.client = client }
}

// WithToken sends an access token with each call.
func WithToken(token string) Option {
	return func(h *HTTP) { h.token = token }
}

// WithRegistry counts calls as "store.calls.<kind>" in a metrics registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(h *HTTP) { h.counter = NewCounter(registry) }
}

// NewHTTP returns a store that calls the API at address, a host:port or a URL.
func NewHTTP(address string, opts ...Option) *HTTP {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	transport.DialContext = httpconn.Dialer(transport.DialContext)
	h := &HTTP{
		address:       strings.TrimSuffix(address, "/"),
		client:        &http.Client{Transport: transport},
		counter:       NewCounter(nil),
		absentIndexes: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.client = httpconn.CheckedClient(h.client)
	return h
}

// Calls returns the number of calls made, by kind.
func (h *HTTP) Calls() Calls {
	return h.counter.Calls()
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// request is one call to the API.
type request struct {
	kind   Kind
	method string
	path   string
	query  url.Values
	body   any
}

// reply is a complete response of the API.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// doRequest makes one call. Errors contain the kind of call and the store's address. A call
// counts as sent once it has a connection: from then on the server may have received it.
func (h *HTTP) doRequest(ctx context.Context, r request) (reply, error) {
	h.counter.Add(r.kind)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := h.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return reply{}, fmt.Errorf("store %s %s: %w: %w", h.address, r.kind, ErrUnavailable, err)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("store %s %s: %w: %w", h.address, r.kind, unansweredError(r.kind, sent.Load()), err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := bounded.ReadAll(res.Body, maxReplyBytes)
	if err != nil {
		return reply{}, fmt.Errorf("store %s %s: %w: %w", h.address, r.kind, unansweredError(r.kind, true), err)
	}
	if err := statusError(r.kind, res.StatusCode, body); err != nil {
		return reply{}, fmt.Errorf("store %s %s: %w", h.address, r.kind, err)
	}
	return reply{status: res.StatusCode, header: res.Header, body: body}, nil
}

func (h *HTTP) newHTTPRequest(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		data, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	target := h.address + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, body)
	if err != nil {
		return nil, err
	}
	if h.token != "" {
		req.Header.Set("X-Consul-Token", h.token)
	}
	return req, nil
}

// unansweredError returns the error of a call without a response: ErrUncertain for a write
// that may have been sent, else ErrUnavailable.
func unansweredError(kind Kind, sent bool) error {
	if kind.IsRead() || !sent {
		return ErrUnavailable
	}
	return ErrUncertain
}

// statusError returns the error for a status that the calling method does not handle itself.
func statusError(kind Kind, status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		return nil
	}
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	if kind.IsRead() || status < http.StatusInternalServerError || provesNotApplied(text) {
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, text)
	}
	return fmt.Errorf("%w: status %d: %s", ErrUncertain, status, text)
}

// provesNotApplied reports whether the text of a server error proves that nothing was written.
func provesNotApplied(text string) bool {
	return strings.Contains(text, "No cluster leader") ||
		strings.Contains(text, "rate limit exceeded")
}

// decode parses a JSON response. The outcome of a write is uncertain if its response can't be
// parsed.
func (h *HTTP) decode(kind Kind, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("store %s %s: %w: %w", h.address, kind, unansweredError(kind, true), err)
	}
	return nil
}

// keyPath returns the URL path of a key, with its segments escaped.
func keyPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return "/v1/kv/" + strings.Join(segments, "/")
}

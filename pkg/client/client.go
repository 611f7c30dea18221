// Package client sends requests to chiveramp on behalf of a caller. It fetches the list of
// instances to connect to from any known instance, caches it for as long as the system
// allows, retries requests where that is safe, and resumes interrupted streams at
// another instance.
package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/httpconn"
)

// Headers of requests and responses.
const (
	HeaderProfile    = "Chiveramp-Profile"
	HeaderRequest    = "Chiveramp-Request"
	HeaderKey        = "Idempotency-Key"
	HeaderDeadline   = "Chiveramp-Deadline" // remaining milliseconds
	HeaderLastEvent  = "Last-Event-ID"
	HeaderOutcome    = "Chiveramp-Outcome"
	HeaderInstance   = "Chiveramp-Instance"
	HeaderDispatcher = "Chiveramp-Dispatcher"
	HeaderEndpoint   = "Chiveramp-Endpoint"
)

const (
	defaultMaxTries    = 5
	defaultMaxResumes  = 5
	defaultRetryRatio  = 0.1 // retries earned per request
	defaultRetryBurst  = 10  // retries that can accumulate
	baseBackoff        = 50 * time.Millisecond
	defaultMaxWait     = 30 * time.Second
	maxEventBytes      = 1 << 20         // bytes
	maxHeadBytes       = 64 << 10        // bytes
	avoidDuration      = 5 * time.Second // by then the system has noticed the missing heartbeats
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 64
)

// ErrNoEntry is returned when no known instance returned a list of entry instances.
var ErrNoEntry = errors.New("no entry instance reachable")

// Option configures a Client under construction.
type Option func(*Client)

// WithProfile sets the profile for requests that set none.
func WithProfile(name string) Option { return func(c *Client) { c.profile = name } }

// WithHTTPClient sets the underlying HTTP client. It must not follow redirects or
// retry requests by itself.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTLS makes the client use https.
func WithTLS() Option { return func(c *Client) { c.scheme = "https" } }

// WithTries limits how often one request is sent.
func WithTries(maxTries int) Option { return func(c *Client) { c.maxTries = maxTries } }

// WithResumes limits how often in a row an interrupted stream is resumed without
// receiving a new event.
func WithResumes(maxResumes int) Option { return func(c *Client) { c.maxResumes = maxResumes } }

// WithRetryBudget sets how many retries each request earns, and how many can
// accumulate.
func WithRetryBudget(ratio, burst float64) Option {
	return func(c *Client) { c.budget = newRetryBudget(ratio, burst) }
}

// WithMaxWait limits the wait before a retry. A request that would have to wait
// longer fails instead.
func WithMaxWait(maxWait time.Duration) Option {
	return func(c *Client) { c.maxWait = maxWait }
}

// Client sends requests to chiveramp. It is safe for concurrent use.
type Client struct {
	profile    string
	scheme     string
	http       *http.Client
	maxTries   int
	maxResumes int
	maxWait    time.Duration
	budget     *retryBudget
	now        func() time.Time
	sleep      func(context.Context, time.Duration) error
	jitter     func() float64 // random number from 0 to 1
	seeds      []string

	mu           sync.Mutex
	entryCaches  map[string]*entryCache // by profile
	avoidedUntil map[string]time.Time   // by address
}

// New returns a client that starts from the given instance addresses (host:port).
func New(instances []string, opts ...Option) *Client {
	c := &Client{
		scheme:       "http",
		http:         newHTTPClient(),
		maxTries:     defaultMaxTries,
		maxResumes:   defaultMaxResumes,
		maxWait:      defaultMaxWait,
		budget:       newRetryBudget(defaultRetryRatio, defaultRetryBurst),
		now:          time.Now,
		sleep:        sleep,
		jitter:       rand.Float64,
		seeds:        instances,
		entryCaches:  map[string]*entryCache{},
		avoidedUntil: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = httpconn.CheckedClient(c.http)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            httpconn.Dialer((&net.Dialer{Timeout: dialTimeout}).DialContext),
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        defaultMaxWait,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

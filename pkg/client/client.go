// Package client is the caller's side of chiveramp: it asks any known instance
// which address to use, keeps the answer for as long as it is told to, connects
// itself, sends again what may be sent again, and resumes cut answers at
// another instance.
package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderProfile    = "Chiveramp-Profile"
	HeaderRequest    = "Chiveramp-Request"
	HeaderKey        = "Idempotency-Key"
	HeaderDeadline   = "Chiveramp-Deadline" // milliseconds left
	HeaderLastEvent  = "Last-Event-ID"
	HeaderOutcome    = "Chiveramp-Outcome"
	HeaderInstance   = "Chiveramp-Instance"
	HeaderDispatcher = "Chiveramp-Dispatcher"
	HeaderEndpoint   = "Chiveramp-Endpoint"
)

const (
	defaultMaxTries    = 5
	defaultMaxResumes  = 5
	defaultRetryRatio  = 0.1 // retries earned by a request
	defaultRetryBurst  = 10  // retries that can be saved up
	baseBackoff        = 50 * time.Millisecond
	defaultMaxWait     = 30 * time.Second
	maxEventBytes      = 1 << 20         // bytes
	avoidDuration      = 5 * time.Second // until the system misses heartbeats too
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 64
)

// ErrNoEntry tells that no known instance answered which address to use.
var ErrNoEntry = errors.New("no entry instance reachable")

// Option changes a Client under construction.
type Option func(*Client)

// WithProfile sets the profile of requests that name none.
func WithProfile(name string) Option { return func(c *Client) { c.profile = name } }

// WithHTTPClient sets the client that sends. It must not follow redirects or
// repeat requests by itself.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTLS makes the client speak https.
func WithTLS() Option { return func(c *Client) { c.scheme = "https" } }

// WithTries bounds how often one request is sent.
func WithTries(maxTries int) Option { return func(c *Client) { c.maxTries = maxTries } }

// WithResumes bounds how often in a row a cut answer is resumed without a new event.
func WithResumes(maxResumes int) Option { return func(c *Client) { c.maxResumes = maxResumes } }

// WithRetryBudget sets how many retries each request earns, and how many can be
// saved up.
func WithRetryBudget(ratio, burst float64) Option {
	return func(c *Client) { c.budget = newRetryBudget(ratio, burst) }
}

// WithLongestWait bounds the wait before another try; a longer one ends the request.
func WithLongestWait(maxWait time.Duration) Option {
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
	jitter     func() float64 // 0 to 1
	seeds      []string

	mu           sync.Mutex
	entryCaches  map[string]*entryCache // by profile
	avoidedUntil map[string]time.Time   // until when, by address
}

// New returns a client that knows some instances by address (host:port).
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
	return c
}

// Close ends the unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialContext(dialTimeout),
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     defaultMaxWait,
			DisableCompression:  true,
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

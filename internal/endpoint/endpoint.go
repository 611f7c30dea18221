// Package endpoint is the HTTP client for endpoints: model engines and plain services.
// Its errors tell whether a failed request may have run, so that its users
// know which requests are safe to retry.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveramp/chiveramp/internal/httpconn"
)

const (
	defaultMaxConnections = 1024
	defaultMaxIdle        = 64
	defaultIdleTimeout    = 30 * time.Second
	defaultDialTimeout    = 2 * time.Second
	defaultEventLimit     = 1 << 20 // bytes
	defaultBodyLimit      = 8 << 20 // bytes
	stepForward           = "forward"
	tracerName            = "github.com/chiveramp/chiveramp/internal/endpoint"
)

type settings struct {
	maxConnections int
	maxIdle        int
	idleTimeout    time.Duration
	dialTimeout    time.Duration
	eventLimit     int
	bodyLimit      int64
	allowReplay    bool
	tracerProvider trace.TracerProvider
}

// Option configures a Client.
type Option func(*settings)

// WithLimits sets the maximum size of one event and of one complete body, in bytes.
func WithLimits(event int, body int64) Option {
	return func(s *settings) { s.eventLimit, s.bodyLimit = event, body }
}

// WithTracerProvider sets the provider of spans. The default is the global one.
func WithTracerProvider(provider trace.TracerProvider) Option {
	return func(s *settings) { s.tracerProvider = provider }
}

// Client sends requests to endpoints over one connection pool.
type Client struct {
	settings  settings
	transport *http.Transport
	tracer    trace.Tracer
	carrier   propagation.TraceContext
}

// New returns a client.
func New(opts ...Option) *Client {
	s := settings{
		maxConnections: defaultMaxConnections,
		maxIdle:        defaultMaxIdle,
		idleTimeout:    defaultIdleTimeout,
		dialTimeout:    defaultDialTimeout,
		eventLimit:     defaultEventLimit,
		bodyLimit:      defaultBodyLimit,
		tracerProvider: otel.GetTracerProvider(),
	}
	for _, opt := range opts {
		opt(&s)
	}
	transport := newTransport(s)
	return &Client{
		settings:  s,
		transport: transport,
		tracer:    s.tracerProvider.Tracer(tracerName),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// exchange is one HTTP request to an endpoint, with what its errors and span report.
type exchange struct {
	step string
	addr string
	span trace.Span
}

func (x exchange) fail(err error) error {
	if x.span.IsRecording() {
		x.span.SetAttributes(attribute.String("server.address", x.addr))
		x.span.RecordError(err)
		x.span.SetStatus(codes.Error, x.step)
	}
	x.span.End()
	return stepError(x.step, x.addr, err)
}

// send sends a request at most once and returns the response with its body unread. It
// uses the transport directly instead of an http.Client, since redirects and cookies are
// left to the caller.
func (c *Client) send(step, addr string, request *http.Request) (*http.Response, exchange, error) {
	ctx, span := c.tracer.Start(request.Context(), "endpoint."+step,
		trace.WithSpanKind(trace.SpanKindClient))
	x := exchange{step: step, addr: addr, span: span}
	c.carrier.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, d, err := c.roundTrip(ctx, request)
	if err != nil {
		return nil, x, x.fail(d.classifyError(err))
	}
	if response.StatusCode >= http.StatusBadRequest && step != stepForward {
		// A repeated refusal would be read as the answer to the next request.
		d.exchange.Retire(response)
	}
	d.exchange.RetireIfEarly(response)
	if class := response.StatusCode / 100; class < 2 || class > 5 {
		_ = response.Body.Close()
		return nil, x, x.fail(fmt.Errorf("%w: no answer has status %d", ErrInterrupted, response.StatusCode))
	}
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("server.address", addr),
			attribute.Int("http.response.status_code", response.StatusCode),
		)
	}
	return response, x, nil
}

// roundTrip sends a request once. If a kept connection turns out to be unusable before a byte of
// the request was written, it takes another one, unless the request's body can be read only once.
func (c *Client) roundTrip(ctx context.Context, request *http.Request) (response *http.Response, d *sendTracker, err error) {
	for range c.settings.maxIdle + 1 {
		d = &sendTracker{allowReplay: c.settings.allowReplay}
		attempt := request.WithContext(d.withTrace(ctx))
		body, again := request.Body.(memoryBody)
		if again {
			attempt.Body = body.reader()
		}
		response, err = c.transport.RoundTrip(attempt)
		if d.wasSent() {
			return response, d, err
		}
		if err == nil {
			_ = response.Body.Close()
			err = httpconn.ErrUnsolicited
		}
		if !d.exchange.Reused() || ctx.Err() != nil || !again && request.Body != http.NoBody {
			break
		}
	}
	return nil, d, err
}

// NotRun reports whether an error proves that the request did not run.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrLeaving) || errors.Is(err, ErrNoModel)
}

func newRequest(ctx context.Context, method, addr, path string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, method, "http://"+addr+path, http.NoBody)
}

package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const maxErrorBytes = 64 << 10 // bytes

// Request is a request of a caller.
type Request struct {
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Profile overrides the profile of the client when set.
	Profile string
	// ID is the request id, generated when empty. After a restart, a caller can
	// resume an answer by using the same id again.
	ID string
	// Key is an idempotency key: it makes a request that must not run twice safe to
	// retry.
	Key string
	// Repeat declares that running the request twice does no harm.
	Repeat bool
}

// Response is the status and header of an answer, with a body that is yet to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Request is the request id.
	Request string
	// Outcome reports whether the request ran, according to the header.
	Outcome Outcome
	// Instance, Dispatcher and Endpoint name what served the request.
	Instance   string
	Dispatcher string
	Endpoint   string
	// Tries is how often the request was sent.
	Tries int

	raw *http.Response
}

// FinalOutcome reports whether the request ran, according to the outcome in the
// trailer or, without one, in the header. It is final once the body has been read to its end.
func (r *Response) FinalOutcome() Outcome {
	if outcome := r.raw.Trailer.Get(HeaderOutcome); outcome != "" {
		return normalizeOutcome(Outcome(outcome))
	}
	return normalizeOutcome(r.Outcome)
}

// fromEndpoint reports whether an error status was returned by the endpoint: then the
// outcome header says that the request ran, or the outcome is announced as a trailer.
func fromEndpoint(response *http.Response) bool {
	if outcome := response.Header.Get(HeaderOutcome); outcome != "" {
		return outcome == string(OutcomeRan)
	}
	_, announced := response.Trailer[HeaderOutcome]
	return announced
}

// Do sends a request and returns the response. A request is retried only if that is
// safe: it did not run, or it may run again because of its key, its Repeat field or its
// method. Errors are of type *Error, or wrap ErrNoEntry or the error of the context.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	call := c.newCall(request)
	c.budget.deposit()
	for {
		response, err := call.send(ctx)
		if err == nil {
			return response, nil
		}
		if !call.waitForRetry(ctx, err) {
			return nil, err
		}
	}
}

// call is the state of one request over all its tries.
type call struct {
	client      *Client
	request     Request
	lastEventID string // id of the last event received
	tried       map[string]bool
	tries       int
}

func (c *Client) newCall(request Request) *call {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if request.Profile == "" {
		request.Profile = c.profile
	}
	return &call{client: c, request: request, tried: map[string]bool{}}
}

// send sends the request once, to the best instance that has not been tried yet.
func (l *call) send(ctx context.Context) (*Response, error) {
	address, err := l.pickAddress(ctx)
	if err != nil {
		return nil, err
	}
	l.tries++
	request, err := l.buildRequest(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("send %s: %w", address, err)
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := l.client.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		l.client.invalidateEntries(l.request.Profile)
		l.client.avoid(address)
		return nil, l.transportError(address, connected, err)
	}
	if response.StatusCode >= http.StatusBadRequest && !fromEndpoint(response) {
		return nil, l.readError(response)
	}
	return l.newResponse(response), nil
}

// pickAddress returns the best address that has not been tried. Once all have been
// tried, it starts again with the first.
func (l *call) pickAddress(ctx context.Context) (string, error) {
	entries, err := l.client.Entries(ctx, l.request.Profile)
	if err != nil {
		return "", err
	}
	entries = l.client.avoidedLast(entries)
	for range 2 {
		for _, entry := range entries {
			if !l.tried[entry.Address] {
				l.tried[entry.Address] = true
				return entry.Address, nil
			}
		}
		clear(l.tried)
	}
	return "", ErrNoEntry
}

func (l *call) buildRequest(ctx context.Context, address string) (*http.Request, error) {
	target := l.client.scheme + "://" + address + l.request.Path
	request, err := http.NewRequestWithContext(ctx, l.request.Method, target, bytes.NewReader(l.request.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents net/http from retrying; the client decides on retries
	for name, values := range l.request.Header {
		request.Header[http.CanonicalHeaderKey(name)] = values
	}
	setHeader(request.Header, HeaderProfile, l.request.Profile)
	setHeader(request.Header, HeaderRequest, l.request.ID)
	if l.request.Key != "" {
		// net/http retries requests with this header by itself. It does not recognize
		// the header in lower case, while servers treat both spellings alike.
		request.Header[strings.ToLower(HeaderKey)] = []string{l.request.Key}
	}
	setHeader(request.Header, HeaderLastEvent, l.lastEventID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, deadline.Sub(l.client.now()).Milliseconds())
		request.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return request, nil
}

func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// transportError returns the error of a try without a response. Without a connection,
// nothing can have been sent.
func (l *call) transportError(address string, connected bool, err error) *Error {
	e := &Error{
		Code: CodeConnect, Step: "send", Message: err.Error(), Peer: address,
		Outcome: OutcomeNotRun, Request: l.request.ID, cause: err,
	}
	if connected {
		e.Code, e.Outcome = CodeCut, OutcomeUnknown
	}
	return e
}

func (l *call) readError(response *http.Response) *Error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
	e := responseError(response, data)
	e.Request = l.request.ID
	return e
}

func (l *call) newResponse(response *http.Response) *Response {
	return &Response{
		Status:     response.StatusCode,
		Header:     response.Header,
		Body:       response.Body,
		Request:    l.request.ID,
		Outcome:    Outcome(response.Header.Get(HeaderOutcome)),
		Instance:   response.Header.Get(HeaderInstance),
		Dispatcher: response.Header.Get(HeaderDispatcher),
		Endpoint:   response.Header.Get(HeaderEndpoint),
		Tries:      l.tries,
		raw:        response,
	}
}

// waitForRetry decides whether to retry, and waits until the retry is due.
func (l *call) waitForRetry(ctx context.Context, err error) bool {
	var e *Error
	if !errors.As(err, &e) || ctx.Err() != nil {
		return false
	}
	if l.tries >= l.client.maxTries || !l.mayRetry(e) {
		return false
	}
	wait := l.backoff(e)
	if deadline, ok := ctx.Deadline(); ok && l.client.now().Add(wait).After(deadline) {
		return false
	}
	if wait > l.client.maxWait {
		return false
	}
	resumed := l.lastEventID != "" // resuming does not run the request again
	if !resumed && !l.client.budget.withdraw() {
		return false
	}
	return l.client.sleep(ctx, wait) == nil
}

// mayRetry reports whether the error allows the request to be sent again.
func (l *call) mayRetry(e *Error) bool {
	if isPermanent(e.Code) || e.Status != 0 && !isTransient(e.Status) {
		return false
	}
	switch e.Outcome {
	case OutcomeNotRun:
		return true
	case OutcomeUnknown:
		return l.lastEventID != "" || l.request.Key != "" || l.request.Repeat || isSafeMethod(l.request.Method)
	default:
		return false
	}
}

// isPermanent reports whether the system returns the same error for every retry.
func isPermanent(code string) bool {
	return code == codeAnswerGone || code == codeOutcomeUnknown
}

// isTransient reports whether a retry may succeed after this status.
func isTransient(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusConflict, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// backoff returns the wait that the system asked for, or else a short exponential
// backoff. Jitter keeps callers that were rejected together from retrying together.
func (l *call) backoff(e *Error) time.Duration {
	if e.Retry > 0 {
		return e.Retry + time.Duration(l.client.jitter()*float64(e.Retry)/4)
	}
	maxBackoff := baseBackoff << min(l.tries-1, 6)
	return time.Duration(l.client.jitter() * float64(maxBackoff))
}

package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxProblemSize bounds what is read of an error response, and of an unread body to make
// its connection reusable, in bytes.
const maxProblemSize = 16 << 10

// Call is one attempt to run a model request.
type Call struct {
	// Attempt is the attempt's id.
	Attempt string
	// Path is the URL path, PathChat when empty.
	Path string
	// Header holds additional headers.
	Header http.Header
	// Body is the JSON body.
	Body []byte
	// Priority is set in the body; lower values are more urgent.
	Priority int
}

// Start sends an attempt and returns its answer. A status of 400 or above is an error.
func (c *Client) Start(ctx context.Context, addr string, call Call) (*Stream, error) {
	body, err := withPriority(call.Body, call.Priority)
	if err != nil {
		return nil, stepError("start", addr, errors.Join(ErrNotSent, err))
	}
	path := call.Path
	if path == "" {
		path = PathChat
	}
	request, err := newRequest(ctx, http.MethodPost, addr, path)
	if err != nil {
		return nil, stepError("start", addr, errors.Join(ErrNotSent, err))
	}
	copyHeader(request.Header, call.Header)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequest, call.Attempt)
	setBytes(request, body)
	return c.open("start", addr, request, 0)
}

// Resume returns the events of an attempt that follow event number after.
func (c *Client) Resume(ctx context.Context, addr, attempt string, after uint64) (*Stream, error) {
	request, err := newRequest(ctx, http.MethodGet, addr, PathStream+url.PathEscape(attempt))
	if err != nil {
		return nil, stepError("resume", addr, errors.Join(ErrNotSent, err))
	}
	request.Header.Set(HeaderLastEvent, strconv.FormatUint(after, 10))
	return c.open("resume", addr, request, after)
}

func (c *Client) open(step, addr string, request *http.Request, after uint64) (*Stream, error) {
	response, x, err := c.send(step, addr, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer drainAndClose(response)
		return nil, x.fail(responseError(response))
	}
	return c.newStream(x, response, after), nil
}

// Cancel stops an attempt and reports whether it had begun to run. ErrGone proves
// nothing: the attempt may have ended, or its request may still be in transit.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) (bool, error) {
	var reply Cancelled
	err := c.doControl(ctx, "cancel", addr, http.MethodDelete, PathStream+url.PathEscape(attempt), nil, &reply)
	return reply.Ran, err
}

// responseError returns the error of a response with status 400 or above.
func responseError(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemSize))
	var problem Problem
	_ = json.Unmarshal(data, &problem)
	detail := problem.Error
	cause := &StatusError{
		Status:     response.StatusCode,
		Code:       detail.Code,
		Message:    detail.Message,
		RetryAfter: parseRetryAfter(response.Header),
	}
	if sentinel := sentinelFor(response.StatusCode, detail.Code); sentinel != nil {
		return fmt.Errorf("%w: %w", sentinel, cause)
	}
	return cause
}

func sentinelFor(status int, code string) error {
	switch {
	case status == http.StatusServiceUnavailable && code == CodeLeaving:
		return ErrLeaving
	case status == http.StatusNotFound && code == CodeNoModel:
		return ErrNoModel
	case status == http.StatusNotFound && code == CodeGone:
		return ErrGone
	case status == http.StatusConflict && code == CodeStale:
		return ErrStaleFence
	case status == http.StatusInsufficientStorage:
		return ErrNoMemory
	default:
		return nil
	}
}

func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// withPriority returns the body with the priority field set. It replaces a priority that
// the caller has set.
func withPriority(body []byte, priority int) ([]byte, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) < 2 || trimmed[0] != '{' || trimmed[len(trimmed)-1] != '}' {
		return nil, errors.New("request body is not a JSON object")
	}
	if bytes.Contains(trimmed, []byte(`"priority"`)) {
		return overwritePriority(trimmed, priority)
	}
	head := trimmed[:len(trimmed)-1]
	result := make([]byte, 0, len(head)+len(`,"priority":}`)+20)
	result = append(result, head...)
	if len(bytes.TrimSpace(head)) > 1 {
		result = append(result, ',')
	}
	result = append(result, `"priority":`...)
	result = strconv.AppendInt(result, int64(priority), 10)
	return append(result, '}'), nil
}

func overwritePriority(body []byte, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("decode request body: %w", err)
	}
	fields["priority"] = strconv.AppendInt(nil, int64(priority), 10)
	return json.Marshal(fields)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// setBody sets a body without GetBody, so that the transport cannot read it a second time
// to replay the request.
func setBody(request *http.Request, body io.Reader, length int64) {
	request.Body = io.NopCloser(body)
	request.ContentLength = length
	request.GetBody = nil
}

// setBytes sets a body that can be sent on another connection if no byte of it was sent on the first.
func setBytes(request *http.Request, body []byte) {
	setBody(request, bytes.NewReader(body), int64(len(body)))
	request.Body = memoryBody{request.Body, body}
}

// memoryBody is a body that is held in memory.
type memoryBody struct {
	io.ReadCloser
	data []byte
}

func (b memoryBody) reader() io.ReadCloser { return io.NopCloser(bytes.NewReader(b.data)) }

func drainAndClose(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxProblemSize)
	_ = response.Body.Close()
}

package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/trace"
)

// ForwardCall is one request to a plain service.
type ForwardCall struct {
	Method string
	// Path is the escaped path with the query.
	Path   string
	Header http.Header
	// Body is streamed, nil without one.
	Body io.Reader
	// Length is the size of the body in bytes, -1 when unknown.
	Length int64
}

// Forward sends a request to a plain service at most once and returns the response,
// whatever its status. The caller closes the body. Reading it fails when the connection
// breaks before its end.
func (c *Client) Forward(ctx context.Context, addr string, call ForwardCall) (*http.Response, error) {
	request, err := newRequest(ctx, call.Method, addr, call.Path)
	if err != nil {
		return nil, stepError(stepForward, addr, errors.Join(ErrNotSent, err))
	}
	copyHeader(request.Header, call.Header)
	stripHopHeaders(request.Header)
	if _, ok := request.Header["User-Agent"]; !ok { // keeps net/http from adding its own
		request.Header["User-Agent"] = nil
	}
	if call.Body != nil && call.Length != 0 {
		setBody(request, call.Body, call.Length)
	}
	response, x, err := c.send(stepForward, addr, request)
	if err != nil {
		return nil, err
	}
	stripHopHeaders(response.Header)
	response.Body = &tracedBody{ReadCloser: response.Body, span: x.span}
	return response, nil
}

// tracedBody is a response body that ends the request's span when it is closed.
type tracedBody struct {
	io.ReadCloser
	span trace.Span
}

// Close closes the body and ends the span.
func (b *tracedBody) Close() error {
	b.span.End()
	return b.ReadCloser.Close()
}

// stripHopHeaders removes the hop-by-hop headers.
func stripHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		header.Del(name)
	}
}

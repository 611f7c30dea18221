package httpconn

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// DialFunc connects to an address, as the DialContext of an http.Transport does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are of type *Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// checked is an http.RoundTripper that fails on malformed responses.
type checked struct {
	http.RoundTripper
}

// CheckedClient returns a copy of a client whose requests fail with ErrMalformed if the status of the response
// is that of no answer, or if its head is malformed. That a line is joined to another, or ends with LF alone, is
// seen only if the client's transport connects by a Dialer, without TLS.
func CheckedClient(c *http.Client) *http.Client {
	with := *c
	if with.Transport == nil {
		with.Transport = http.DefaultTransport
	}
	with.Transport = checked{with.Transport}
	return &with
}

// RoundTrip implements http.RoundTripper.
func (c checked) RoundTrip(r *http.Request) (*http.Response, error) {
	exchange := new(Exchange)
	response, err := c.RoundTripper.RoundTrip(r.WithContext(exchange.WithTrace(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		exchange.Discard()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func check(r *http.Response) error {
	if class := r.StatusCode / 100; class < 2 || class > 5 {
		return fmt.Errorf("%w: no answer has status %03d", ErrMalformed, r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %.100q", ErrMalformed, name)
		}
	}
	return nil
}

// CloseIdleConnections closes those of the wrapped RoundTripper. http.Client calls it.
func (c checked) CloseIdleConnections() {
	if closer, ok := c.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

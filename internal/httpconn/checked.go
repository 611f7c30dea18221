package httpconn

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is the error of a response that HTTP doesn't allow. Whether its request had an effect is not known.
var ErrMalformed = errors.New("malformed response")

// checked is an http.RoundTripper that fails on malformed responses.
type checked struct {
	http.RoundTripper
}

// CheckedClient returns a copy of a client whose requests fail with ErrMalformed if the status of the response
// is that of no answer.
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
	response, err := c.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if class := response.StatusCode / 100; class < 2 || class > 5 {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: no answer has status %03d", ErrMalformed, response.StatusCode)
	}
	return response, nil
}

// CloseIdleConnections closes those of the wrapped RoundTripper. http.Client calls it.
func (c checked) CloseIdleConnections() {
	if closer, ok := c.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

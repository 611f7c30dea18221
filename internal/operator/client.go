package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/chiveramp/chiveramp/internal/bounded"
	"github.com/chiveramp/chiveramp/internal/httpconn"
)

// ErrUnreachable means that no instance could be reached, or that a read got no response.
var ErrUnreachable = errors.New("no instance reached")

const (
	// maxResponseBytes bounds a response's body.
	maxResponseBytes = 32 << 20
	// maxHeadBytes bounds its status line and header.
	maxHeadBytes = 64 << 10
)

// Client calls the operator API of the first instance that accepts a connection.
type Client struct {
	addresses []string
	token     string
	scheme    string
	http      *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithBearerToken sets the token sent in the Authorization header.
func WithBearerToken(token string) ClientOption {
	return func(c *Client) { c.token = token }
}

// WithTLS makes the client use HTTPS.
func WithTLS(t *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.Transport = newTransport(t)
	}
}

// NewClient returns a client for instances at addresses of the form host:port, which
// are tried in order.
func NewClient(addresses []string, options ...ClientOption) *Client {
	c := &Client{addresses: addresses, scheme: "http", http: &http.Client{Transport: newTransport(nil)}}
	for _, o := range options {
		o(c)
	}
	c.http = httpconn.CheckedClient(c.http)
	return c
}

// newTransport returns a transport that uses TLS if settings are given.
func newTransport(t *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:            httpconn.Dialer(new(net.Dialer).DialContext),
		TLSClientConfig:        t,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Document returns the document in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	return call[Document](ctx, c, http.MethodGet, "/v1/document", nil)
}

// Apply replaces the document.
func (c *Client) Apply(ctx context.Context, e Edit) (ApplyResult, error) {
	return call[ApplyResult](ctx, c, http.MethodPut, "/v1/document", e)
}

// Status returns the state of the system as the instance that is reached has recorded it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Profiles compares the recent requests of each profile with its target.
func (c *Client) Profiles(ctx context.Context) ([]ProfileReport, error) {
	return call[[]ProfileReport](ctx, c, http.MethodGet, "/v1/profiles", nil)
}

// Explain returns the decisions made for a request.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	return call[Explanation](ctx, c, http.MethodGet, "/v1/requests/"+url.PathEscape(request), nil)
}

// Drain makes an instance shut down once its requests in flight are done.
func (c *Client) Drain(ctx context.Context, instance string) (DrainResult, error) {
	return call[DrainResult](ctx, c, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/drain", nil)
}

// call tries the addresses in order until one accepts a connection. After that no other
// address is tried: the request may have been sent, and repeating it isn't safe.
func call[T any](ctx context.Context, c *Client, method, path string, payload any) (T, error) {
	var out T
	var body []byte
	if payload != nil {
		var err error
		if body, err = json.Marshal(payload); err != nil {
			return out, fmt.Errorf("encode %s: %w", path, err)
		}
	}
	dialErrors := make([]error, 0, len(c.addresses))
	for _, address := range c.addresses {
		err := c.sendTo(ctx, address, method, path, body, &out)
		if !isDialError(err) {
			return out, err
		}
		dialErrors = append(dialErrors, err)
	}
	return out, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(dialErrors...))
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request to %s: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if isDialError(err) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", unansweredError(method), err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: read response from %s: %w", unansweredError(method), address, err)
	}
	return decodeResponse(address, resp.StatusCode, text, out)
}

// unansweredError returns the error for a request that may have been sent but got no
// response. A read is safe to repeat; any other call may have taken effect.
func unansweredError(method string) error {
	if method == http.MethodGet {
		return ErrUnreachable
	}
	return ErrUncertain
}

func decodeResponse(address string, status int, text []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(text, out); err != nil {
			return fmt.Errorf("decode response from %s: %w", address, err)
		}
		return nil
	}
	p := &CallError{}
	if err := json.Unmarshal(text, p); err != nil || p.Code == "" {
		return fmt.Errorf("response from %s: status %d: %s", address, status, strings.TrimSpace(string(text[:min(len(text), 200)])))
	}
	return p
}

// isDialError reports whether err means that no connection was made, so that no
// request can have been sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/keys"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	token        = "0123456789abcdef"
	documentText = "[profile \"chat\"]\nclass = chat\nrank = urgent\nservices = stock\n[service \"stock\"]\nrepeat = yes\n"
)

// stubBackend answers every call with fixed values, or with err.
type stubBackend struct {
	err   error
	edits []Edit
}

func (s *stubBackend) Document(context.Context) (Document, error) {
	return Document{Revision: 3, Author: "ana", Text: documentText}, s.err
}

func (s *stubBackend) Apply(_ context.Context, e Edit) (ApplyResult, error) {
	s.edits = append(s.edits, e)
	return ApplyResult{Revision: e.Expect + 1, InForce: []string{"a1"}, Behind: []string{"b1"}}, s.err
}

func (s *stubBackend) Status(context.Context) (Status, error) {
	return Status{Instance: "a1", Revision: 3}, s.err
}

func (s *stubBackend) Profiles(context.Context) ([]ProfileReport, error) {
	return []ProfileReport{{Profile: "chat", Requests: 4, Met: 3}}, s.err
}

func (s *stubBackend) Explain(_ context.Context, request string) (Explanation, error) {
	return Explanation{Request: request}, s.err
}

func (s *stubBackend) Drain(_ context.Context, instance string) (DrainResult, error) {
	return DrainResult{Instance: instance, State: StateLeaving}, s.err
}

func startServer(t *testing.T, b Backend, options ...Option) (*httptest.Server, *Client) {
	t.Helper()
	server := httptest.NewServer(NewServer(b, append([]Option{WithToken(token)}, options...)...))
	t.Cleanup(server.Close)
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, WithBearerToken(token))
	t.Cleanup(client.Close)
	return server, client
}

func TestClientAndServer(t *testing.T) {
	ctx := context.Background()
	b := &stubBackend{}
	_, c := startServer(t, b)
	d, err := c.Document(ctx)
	require.NoError(t, err)
	assert.Equal(t, Document{Revision: 3, Author: "ana", Text: documentText}, d)
	r, err := c.Apply(ctx, Edit{Expect: 3, Author: "bo", Text: documentText})
	require.NoError(t, err)
	assert.Equal(t, ApplyResult{Revision: 4, InForce: []string{"a1"}, Behind: []string{"b1"}}, r)
	assert.Equal(t, []Edit{{Expect: 3, Author: "bo", Text: documentText}}, b.edits)
	s, err := c.Status(ctx)
	require.NoError(t, err)
	assert.Equal(t, "a1", s.Instance)
	p, err := c.Profiles(ctx)
	require.NoError(t, err)
	assert.InDelta(t, 0.75, p[0].Attainment(), 1e-9)
	e, err := c.Explain(ctx, "a/b c")
	require.NoError(t, err)
	assert.Equal(t, "a/b c", e.Request)
	x, err := c.Drain(ctx, "a1")
	require.NoError(t, err)
	assert.Equal(t, DrainResult{Instance: "a1", State: StateLeaving}, x)
}

func TestClientReturnsTypedErrors(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		code     Code
		sentinel error
	}{
		{"not found", fmt.Errorf("read: %w", ErrNotFound), CodeNotFound, ErrNotFound},
		{"unavailable", fmt.Errorf("store: %w", ErrUnavailable), CodeUnavailable, ErrUnavailable},
		{"uncertain", fmt.Errorf("store: %w", ErrUncertain), CodeUncertain, ErrUncertain},
		{"other", errors.New("boom"), CodeInternal, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := startServer(t, &stubBackend{err: tt.err})
			_, err := c.Status(context.Background())
			p, found := AsCallError(err)
			require.True(t, found)
			assert.Equal(t, &CallError{Code: tt.code, Step: "status", Message: tt.err.Error()}, p)
			if tt.sentinel != nil {
				assert.ErrorIs(t, err, tt.sentinel)
			}
		})
	}
}

func TestClientReturnsConflictWithWinner(t *testing.T) {
	winner := &ConflictError{Expected: 3, Revision: 4, Author: "ana"}
	_, c := startServer(t, &stubBackend{err: fmt.Errorf("apply: %w", winner)})
	_, err := c.Apply(context.Background(), Edit{Expect: 3, Text: documentText})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, winner, conflict)
}

func TestGuard(t *testing.T) {
	tests := []struct {
		name   string
		header string
		want   int
	}{
		{"none", "", http.StatusUnauthorized},
		{"empty", "Bearer ", http.StatusUnauthorized},
		{"wrong", "Bearer 0123456789abcdeX", http.StatusUnauthorized},
		{"prefix", "Bearer 0123456789abcde", http.StatusUnauthorized},
		{"other scheme", "Basic " + token, http.StatusUnauthorized},
		{"right", "Bearer " + token, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := serveRequest(t, NewServer(&stubBackend{}, WithToken(token)), http.MethodGet, "/v1/status", tt.header, "")
			assert.Equal(t, tt.want, w.Code, w.Body.String())
		})
	}
}

func TestGuardWithoutTokenDeniesAll(t *testing.T) {
	w := serveRequest(t, NewServer(&stubBackend{}), http.MethodGet, "/v1/status", "Bearer ", "")
	assert.Equal(t, http.StatusUnauthorized, w.Code)
}

func TestGuardLimitsRate(t *testing.T) {
	h := NewServer(&stubBackend{}, WithToken(token), WithRate(0.001, 2))
	var codes []int
	for range 3 {
		codes = append(codes, serveRequest(t, h, http.MethodGet, "/v1/status", "Bearer "+token, "").Code)
	}
	assert.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}, codes)
}

func TestApplyRejectsInvalidEdits(t *testing.T) {
	tests := []struct {
		name string
		body string
		code Code
	}{
		{"broken JSON", `{"text":`, CodeInvalid},
		{"unknown field", `{"texts":""}`, CodeInvalid},
		{"not a profile", `{"text":"[profile]"}`, CodeInvalid},
		{"too large", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, CodeTooLarge},
		{"document too large", `{"text":"` + strings.Repeat("x", profile.Limit+1) + `"}`, CodeInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &stubBackend{}
			w := serveRequest(t, NewServer(b, WithToken(token)), http.MethodPut, "/v1/document", "Bearer "+token, tt.body)
			assert.Contains(t, w.Body.String(), `"code":"`+string(tt.code)+`","step":"apply"`)
			assert.Empty(t, b.edits)
		})
	}
}

func TestUnknownPath(t *testing.T) {
	w := serveRequest(t, NewServer(&stubBackend{}, WithToken(token)), http.MethodPost, "/v1/models", "Bearer "+token, "")
	assert.Equal(t, http.StatusNotFound, w.Code)
	assert.JSONEq(t, `{"code":"not-found","step":"route","message":"no POST /v1/models"}`, w.Body.String())
}

func TestClientTriesNextAddress(t *testing.T) {
	server, _ := startServer(t, &stubBackend{})
	c := NewClient([]string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")}, WithBearerToken(token))
	defer c.Close()
	s, err := c.Status(context.Background())
	require.NoError(t, err)
	assert.Equal(t, "a1", s.Instance)
}

func TestClientReportsUnreachable(t *testing.T) {
	c := NewClient([]string{"127.0.0.1:1"}, WithBearerToken(token))
	_, err := c.Status(context.Background())
	require.ErrorIs(t, err, ErrUnreachable)
}

// If the connection breaks after the request was sent, the edit may have taken effect.
// The client must not send it to another instance.
func TestClientDoesNotRetryAfterSending(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	b := &stubBackend{}
	server, _ := startServer(t, b)
	addresses := []string{strings.TrimPrefix(aborting.URL, "http://"), strings.TrimPrefix(server.URL, "http://")}
	c := NewClient(addresses, WithBearerToken(token))
	defer c.Close()
	_, err := c.Apply(context.Background(), Edit{Text: documentText})
	require.ErrorIs(t, err, ErrUncertain)
	assert.Empty(t, b.edits)
}

func TestHTTPServerLimits(t *testing.T) {
	s := NewHTTPServer("127.0.0.1:0", nil, http.NotFoundHandler())
	assert.Equal(t, 5*time.Second, s.ReadHeaderTimeout)
	assert.Equal(t, 16<<10, s.MaxHeaderBytes)
}

// A key with the view role can't apply or drain. The author of an edit is the name on the
// operator's key, whatever author the request gives; only with the shared token the
// request's author is used.
func TestKeyRoles(t *testing.T) {
	findKey := func(presented string) (keys.Key, bool) {
		k, ok := map[string]keys.Key{
			"ana-token": {Name: "ana", Role: keys.RoleEdit}, "bo-token": {Name: "bo", Role: keys.RoleView},
		}[presented]
		return k, ok
	}
	edit := `{"author":"somebody","text":` + strconv.Quote(documentText) + `}`
	tests := []struct {
		name, token, method, path, body string
		want                            int
		author                          string
	}{
		{name: "looks", token: "bo-token", method: http.MethodGet, path: "/v1/status", want: http.StatusOK},
		{name: "view role can't apply", token: "bo-token", method: http.MethodPut, path: "/v1/document", body: edit, want: http.StatusForbidden},
		{name: "view role can't drain", token: "bo-token", method: http.MethodPost, path: "/v1/instances/a1/drain", want: http.StatusForbidden},
		{name: "applies", token: "ana-token", method: http.MethodPut, path: "/v1/document", body: edit, want: http.StatusOK, author: "ana"},
		{name: "shared token", token: token, method: http.MethodPut, path: "/v1/document", body: edit, want: http.StatusOK, author: "somebody"},
		{name: "unknown", token: "cy-token", method: http.MethodGet, path: "/v1/status", want: http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &stubBackend{}
			w := serveRequest(t, NewServer(b, WithToken(token), WithKeys(findKey)), tt.method, tt.path, "Bearer "+tt.token, tt.body)
			assert.Equal(t, tt.want, w.Code, w.Body.String())
			var author string
			for _, e := range b.edits {
				author = e.Author
			}
			assert.Equal(t, tt.author, author)
		})
	}
}

func serveRequest(t *testing.T, h http.Handler, method, path, authorization, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", authorization)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Calls with a wrong token are rate-limited separately and must not use up the rate of
// operators with a valid one.
func TestDeniedCallsDoNotUseOperatorRate(t *testing.T) {
	h := NewServer(&stubBackend{}, WithToken(token), WithRate(0.001, 2))
	codes := map[int]int{}
	for range 10 {
		codes[serveRequest(t, h, http.MethodGet, "/v1/status", "Bearer wrong", "").Code]++
	}
	assert.Equal(t, map[int]int{http.StatusUnauthorized: 2, http.StatusTooManyRequests: 8}, codes)
	assert.Equal(t, http.StatusOK, serveRequest(t, h, http.MethodGet, "/v1/status", "Bearer "+token, "").Code)
}

// An answer that goes on after a document must not be taken for that document.
func TestClientFailsOnAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name, header string
		want         string
	}{
		{name: "body", want: "message too large"},
		{name: "head", header: strings.Repeat("x", 2<<20), want: "headers exceeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.header != "" {
					w.Header().Set("X-Long", tt.header)
				}
				_, err := io.WriteString(w, "{}")
				for piece := strings.Repeat(" ", 1<<20); err == nil; {
					_, err = io.WriteString(w, piece)
				}
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			c := NewClient([]string{address}, WithBearerToken(token))
			defer c.Close()
			_, err := c.Status(t.Context())
			require.ErrorIs(t, err, ErrUnreachable)
			require.ErrorContains(t, err, address)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

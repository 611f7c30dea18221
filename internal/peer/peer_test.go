package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// fakeHandler serves requests with a function and implements no other call.
type fakeHandler struct {
	Handler
	serve func(context.Context, Request, Sink) *peerpb.End
}

func (h fakeHandler) Serve(ctx context.Context, r Request, s Sink) *peerpb.End {
	return h.serve(ctx, r, s)
}

type discardSink struct{}

func (discardSink) Head(*peerpb.Head) error { return nil }
func (discardSink) Data(*peerpb.Data) error { return nil }

// newTestClient returns a client that connects every address to the handler.
func newTestClient(t *testing.T, serve func(context.Context, Request, Sink) *peerpb.End, options ...Option) *Client {
	t.Helper()
	listener := bufconn.Listen(1 << 20)
	server := grpc.NewServer()
	Register(server, fakeHandler{serve: serve})
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	client := NewClient(append(options, WithDialOptions(grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		return listener.DialContext(ctx)
	})))...)
	t.Cleanup(func() {
		assert.NoError(t, client.Close())
		server.Stop()
		assert.NoError(t, group.Wait())
	})
	return client
}

// The machine that forwards a request and the one that runs it may differ in their time of day.
func TestDeadlinesAreCountedOnTheReceiversClock(t *testing.T) {
	const left = 2 * time.Second
	for _, ahead := range []time.Duration{0, 5 * time.Second, -5 * time.Second} {
		t.Run(ahead.String(), func(t *testing.T) {
			clock := func() time.Time { return time.Now().Add(ahead) }
			deadlines := make(chan int64, 2)
			client := newTestClient(t, func(_ context.Context, r Request, _ Sink) *peerpb.End {
				deadlines <- r.Deadline
				return &peerpb.End{}
			}, WithClock(clock))
			for _, deadline := range []int64{clock().Add(left).UnixMilli(), 0} {
				_, err := client.Serve(t.Context(), "peer", Request{Submit: &peerpb.Submit{Deadline: deadline}}, discardSink{})
				require.NoError(t, err)
			}
			assert.WithinDuration(t, time.Now().Add(left), time.UnixMilli(<-deadlines), time.Second)
			assert.Zero(t, <-deadlines, "no deadline")
		})
	}
}

func TestServePassesRequestBody(t *testing.T) {
	long := strings.Repeat("0123456789", chunkSize/4)
	errReset := errors.New("connection reset")
	started := make(chan struct{})
	tests := []struct {
		name            string
		body            io.Reader
		want            string
		wantInterrupted bool
	}{
		{name: "none"},
		{name: "empty", body: strings.NewReader("")},
		{name: "many chunks", body: strings.NewReader(long), want: long},
		{name: "read error", body: io.MultiReader(strings.NewReader("half"), failingReader{errReset, started}), wantInterrupted: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			type result struct {
				body string
				err  error
			}
			results := make(chan result, 1)
			client := newTestClient(t, func(_ context.Context, r Request, _ Sink) *peerpb.End {
				if tt.wantInterrupted {
					close(started)
				}
				body, err := io.ReadAll(r.Body)
				results <- result{body: string(body), err: err}
				return &peerpb.End{Outcome: "ran"}
			})
			end, err := client.Serve(t.Context(), "peer", Request{Submit: &peerpb.Submit{}, Body: tt.body}, discardSink{})
			got := <-results
			if tt.wantInterrupted {
				require.Error(t, got.err, "a truncated body must be an error, not a short body")
				require.ErrorIs(t, err, ErrInterrupted)
				return
			}
			require.NoError(t, got.err)
			require.NoError(t, err)
			assert.Equal(t, tt.want, got.body)
			assert.Equal(t, "ran", end.Outcome)
		})
	}
}

// failingReader fails after the server has started to handle the request.
type failingReader struct {
	err     error
	started <-chan struct{}
}

func (f failingReader) Read([]byte) (int, error) {
	<-f.started
	return 0, f.err
}

func TestBodyWithoutDoneMessageIsAnError(t *testing.T) {
	errs := make(chan error, 1)
	client := newTestClient(t, func(_ context.Context, r Request, _ Sink) *peerpb.End {
		_, err := io.ReadAll(r.Body)
		errs <- err
		return &peerpb.End{}
	})
	stream, err := client.open(t.Context(), "peer", &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Submit{Submit: &peerpb.Submit{}}})
	require.NoError(t, err)
	require.NoError(t, stream.Send(&peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Body{Body: []byte("half")}}))
	require.NoError(t, stream.CloseSend())
	require.ErrorIs(t, <-errs, io.ErrUnexpectedEOF)
}

func TestServeReturnsWhileCallerStillSends(t *testing.T) {
	client := newTestClient(t, func(context.Context, Request, Sink) *peerpb.End {
		return &peerpb.End{Outcome: "not-run", Code: "overload"}
	})
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	end, err := client.Serve(ctx, "peer", Request{Submit: &peerpb.Submit{}, Body: body}, discardSink{})
	require.NoError(t, err)
	assert.Equal(t, "overload", end.Code)
}

func TestServeReturnsWhenTheServerStopsReading(t *testing.T) {
	client := newTestClient(t, func(context.Context, Request, Sink) *peerpb.End { return &peerpb.End{Code: "overload"} })
	endless := io.LimitReader(zeroReader{}, 64<<20)
	end, err := client.Serve(t.Context(), "peer", Request{Submit: &peerpb.Submit{}, Body: endless}, discardSink{})
	require.NoError(t, err)
	assert.Equal(t, "overload", end.Code)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

package service_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/service"
)

func TestCallsAreCountedByIdempotencyKey(t *testing.T) {
	server := service.New("orders")
	require.NoError(t, server.Start(t.Context(), "127.0.0.1:0"))
	defer func() { _ = server.Close() }()
	client := endpoint.New()
	defer client.Close()
	call := endpoint.ForwardCall{
		Method: http.MethodPost,
		Path:   "/orders",
		Header: http.Header{"Idempotency-Key": {"k"}},
		Body:   strings.NewReader("{}"),
		Length: 2,
	}
	response, err := client.Forward(t.Context(), server.Address(), call)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.JSONEq(t, `{"service":"orders","method":"POST","path":"/orders","key":"k","bytes":2,"run":1}`, string(data))

	server.SetFaults(service.Faults{ReplyLost: 1})
	call.Body = strings.NewReader("{}")
	_, err = client.Forward(t.Context(), server.Address(), call) //nolint:bodyclose // there is none
	require.ErrorIs(t, err, endpoint.ErrInterrupted)
	assert.Equal(t, map[string]int{"k": 2}, server.Counts().Keys)
}

func TestEchoStreamsWhileBodyArrives(t *testing.T) {
	server := service.New("orders")
	require.NoError(t, server.Start(t.Context(), "127.0.0.1:0"))
	defer func() { _ = server.Close() }()
	client := endpoint.New()
	defer client.Close()
	reader, writer := io.Pipe()
	var writes errgroup.Group
	writes.Go(func() error { _, err := writer.Write([]byte("one")); return err })
	call := endpoint.ForwardCall{Method: http.MethodPut, Path: "/echo", Body: reader, Length: -1}
	response, err := client.Forward(t.Context(), server.Address(), call)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	start := make([]byte, 3)
	_, err = io.ReadFull(response.Body, start)
	require.NoError(t, err)
	assert.Equal(t, "one", string(start))
	require.NoError(t, writes.Wait())
	require.NoError(t, writer.Close())
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Empty(t, rest)
}

package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// A line break in the data must not end the event's data field.
func TestMultiLineEventStaysOneEvent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newEventSink(w, time.Second)
		assert.NoError(t, sink.Head(&peerpb.Head{Endpoint: "e", Status: http.StatusOK}))
		assert.NoError(t, sink.Data(&peerpb.Data{Attempt: "a", Data: []byte("{\n}")}))
		sink.finish("r", &peerpb.End{Outcome: "ran"})
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "id: e/a/1\ndata: {\ndata: }\n\ndata: [DONE]\n\n", string(body))
}

func TestAppendDataLines(t *testing.T) {
	tests := []struct{ data, want string }{
		{"", ""},
		{"a", "a"},
		{"a\nb\n", "a\ndata: b\ndata: "},
		{"\n", "\ndata: "},
	}
	for _, tt := range tests {
		assert.Equal(t, ">"+tt.want, string(appendDataLines([]byte(">"), []byte(tt.data))))
	}
}

// countingListener counts the writes on its connections.
type countingListener struct {
	net.Listener
	writes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// The end marker and the trailer must not cost a write each.
func TestEndOfAnswerIsOneWrite(t *testing.T) {
	var writes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newEventSink(w, time.Second)
		assert.NoError(t, sink.Head(&peerpb.Head{Endpoint: "e", Status: http.StatusOK}))
		assert.NoError(t, sink.Data(&peerpb.Data{Attempt: "a", Data: []byte("{}")}))
		assert.EqualValues(t, 2, writes.Load(), "headers and event are flushed immediately")
		sink.finish("r", &peerpb.End{Outcome: "ran"})
	}))
	server.Listener = countingListener{server.Listener, &writes}
	server.Start()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	server.Close() // waits until all is written
	assert.Contains(t, string(body), "[DONE]")
	assert.Equal(t, "ran", response.Trailer.Get(HeaderOutcome))
	assert.EqualValues(t, 3, writes.Load(), "end marker and trailer are sent in one write")
}

// Guards against a complete answer that is cut since its endpoint ends it later than one write
// timeout after its last piece.
func TestServiceAnswerEndsLongAfterItsLastPiece(t *testing.T) {
	const writeTimeout = 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := &serviceSink{w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout}
		assert.NoError(t, sink.Head(&peerpb.Head{Endpoint: "e", Status: http.StatusOK}))
		assert.NoError(t, sink.Data(&peerpb.Data{Attempt: "a", Data: []byte("piece")}))
		time.Sleep(2 * writeTimeout)
		sink.finish("r", &peerpb.End{Outcome: "ran"})
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "piece", string(body))
	assert.Equal(t, "ran", response.Trailer.Get(HeaderOutcome))
}

package process

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// span holds the fields of an exported span that the test checks.
type span struct {
	id, parent, name string
}

// spanCollector is an OTLP receiver that stores spans by trace ID.
type spanCollector struct {
	mu     sync.Mutex
	traces map[string][]span
}

func (c *spanCollector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(body, &request) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range request.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, s := range scope.Spans {
				id := hex.EncodeToString(s.TraceId)
				c.traces[id] = append(c.traces[id], span{
					id: hex.EncodeToString(s.SpanId), parent: hex.EncodeToString(s.ParentSpanId), name: s.Name,
				})
			}
		}
	}
}

// longestPath returns the span names on the longest path down from the root of a trace.
func (c *spanCollector) longestPath(trace string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest []string
	for _, s := range c.traces[trace] {
		if names := c.pathToRoot(trace, s); len(names) > len(longest) {
			longest = names
		}
	}
	return longest
}

// pathToRoot returns the span names from the root down to s.
func (c *spanCollector) pathToRoot(trace string, s span) []string {
	for _, parent := range c.traces[trace] {
		if parent.id == s.parent {
			return append(c.pathToRoot(trace, parent), s.name)
		}
	}
	return []string{s.name}
}

// Guards against broken trace propagation: the caller's trace must contain a span for each
// hop through two instances to the endpoint.
func TestTraceHasASpanForEachHop(t *testing.T) {
	spans := &spanCollector{traces: make(map[string][]span)}
	web := httptest.NewServer(spans)
	t.Cleanup(web.Close)
	b := newDeployment(t, "matcher", "order")
	b.traceEndpoint = web.URL
	b.startSouth()
	const trace = "0af7651916cd43dd8448eb211c80319c"
	r, err := sendRequest(t.Context(), b.nonDispatcher().caller, "/v1/chat/completions", chatBody("matcher-a", "traced", true, 5),
		"Chiveramp-Profile", "chat", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, string(r.body))
	want := []string{
		"caller.request",
		"chiveramp.peer.v1.Peer/Dispatch", // sent by the entry
		"chiveramp.peer.v1.Peer/Dispatch", // received by the dispatcher
		"dispatch.attempt",
		"endpoint.start",
	}
	b.eventually("the spans are exported", func() bool { return len(spans.longestPath(trace)) == len(want) })
	require.Equal(t, want, spans.longestPath(trace))
}

package endpoint

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
)

func TestEachHopIsSpanPropagatedToEndpoint(t *testing.T) {
	var parent string
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		parent = r.Header.Get("Traceparent")
		if r.URL.Path != PathChat {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeEventStream(w, "data: {}\n\ndata: [DONE]\n\n")
	})
	spans := tracetest.NewSpanRecorder()
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(spans))
	client := New(WithTracerProvider(provider))
	defer client.Close()
	ctx, root := provider.Tracer("test").Start(t.Context(), "root")

	s, err := client.Start(ctx, addr, Call{Body: []byte(`{}`)})
	require.NoError(t, err)
	for err == nil {
		_, err = s.Next()
	}
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, s.Close())
	require.Len(t, spans.Ended(), 1)
	span := spans.Ended()[0]
	assert.Equal(t, "endpoint.start", span.Name())
	assert.Equal(t, trace.SpanKindClient, span.SpanKind())
	assert.Equal(t, root.SpanContext().SpanID(), span.Parent().SpanID())
	assert.Contains(t, parent, span.SpanContext().SpanID().String())

	_, err = client.Resume(ctx, addr, "a", 1)
	require.Error(t, err)
	require.Len(t, spans.Ended(), 2)
	assert.Equal(t, "endpoint.resume", spans.Ended()[1].Name())
	assert.Equal(t, "Error", spans.Ended()[1].Status().Code.String())
}

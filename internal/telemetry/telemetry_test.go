package telemetry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chiveramp/chiveramp/pkg/config"
)

func testConfig() config.Config {
	c := config.Default()
	c.Instance.Name = "a1"
	return c
}

func TestLogger(t *testing.T) {
	tests := []struct {
		name   string
		level  config.Level
		format config.Format
		want   []string
	}{
		{"info", config.LevelInfo, config.FormatLogfmt, []string{"instance=a1", "level=info", "msg=up"}},
		{"json", config.LevelDebug, config.FormatJSON, []string{`"instance":"a1"`, `"level":"info"`, `"msg":"up"`}},
		{"filtered", config.LevelError, config.FormatLogfmt, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := testConfig()
			c.Log = config.Log{Level: tt.level, Format: tt.format}
			var b bytes.Buffer
			require.NoError(t, level.Info(NewLogger(&b, c)).Log("msg", "up"))
			for _, part := range tt.want {
				assert.Contains(t, b.String(), part)
			}
			assert.Equal(t, tt.want == nil, b.Len() == 0)
		})
	}
}

func TestLoggerCutsLongValues(t *testing.T) {
	var b bytes.Buffer
	var none *net.OpError
	long := strings.Repeat("p", 15<<10)
	require.NoError(t, NewLogger(&b, testConfig()).Log("path", long, "err", errors.New(long), "none", none, "id", 7))
	assert.Less(t, b.Len(), 2<<10)
	assert.Contains(t, b.String(), "path=ppp")
	assert.Contains(t, b.String(), "id=7")
}

func TestMetricsHandler(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests;rank=urgent", r).Inc(3)
	metrics.GetOrRegisterCounter("requests;rank=bulk", r).Inc(1)
	metrics.GetOrRegisterGauge("queue depth", r).Update(7)
	metrics.GetOrRegisterHistogram("wait", r, metrics.NewUniformSample(8)).Update(10)
	metrics.GetOrRegisterTimer("call", r).Update(time.Second)
	w := httptest.NewRecorder()
	MetricsHandler(r).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, `# TYPE chiveramp_call summary
chiveramp_call{quantile="0.5"} 1e+09
chiveramp_call{quantile="0.95"} 1e+09
chiveramp_call{quantile="0.99"} 1e+09
chiveramp_call_sum 1e+09
chiveramp_call_count 1
# TYPE chiveramp_queue_depth gauge
chiveramp_queue_depth 7
# TYPE chiveramp_requests counter
chiveramp_requests{rank="bulk"} 1
chiveramp_requests{rank="urgent"} 3
# TYPE chiveramp_wait summary
chiveramp_wait{quantile="0.5"} 10
chiveramp_wait{quantile="0.95"} 10
chiveramp_wait{quantile="0.99"} 10
chiveramp_wait_sum 10
chiveramp_wait_count 1
`, w.Body.String())
}

func TestTracerProvider(t *testing.T) {
	ctx := context.Background()
	spans := tracetest.NewSpanRecorder()
	p, err := NewTracerProvider(ctx, testConfig(), spans)
	require.NoError(t, err)
	ctx, span := p.Tracer("test").Start(ctx, "entry")
	carrier := propagation.MapCarrier{}
	NewPropagator().Inject(ctx, carrier)
	span.End()
	require.Len(t, spans.Ended(), 1)
	assert.Contains(t, carrier["traceparent"], span.SpanContext().TraceID().String())
	require.NoError(t, p.Shutdown(context.Background()))
}

func TestTracerProviderWithZeroSampleRate(t *testing.T) {
	c := testConfig()
	c.Trace.Sample = 0
	p, err := NewTracerProvider(context.Background(), c, trace.SpanProcessor(tracetest.NewSpanRecorder()))
	require.NoError(t, err)
	_, span := p.Tracer("test").Start(context.Background(), "entry")
	assert.False(t, span.SpanContext().IsSampled())
}

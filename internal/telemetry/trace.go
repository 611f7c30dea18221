package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"github.com/chiveramp/chiveramp/pkg/config"
)

// serviceName is the service.name attribute of all spans.
const serviceName = "chiverampd"

// NewTracerProvider returns a provider that exports to the given processors and, if a trace
// endpoint is configured, over OTLP/HTTP. Call Shutdown to flush it.
func NewTracerProvider(ctx context.Context, c config.Config, processors ...trace.SpanProcessor) (*trace.TracerProvider, error) {
	options := []trace.TracerProviderOption{
		trace.WithResource(newResource(c)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(c.Trace.Sample))),
	}
	for _, p := range processors {
		options = append(options, trace.WithSpanProcessor(p))
	}
	if c.Trace.Endpoint != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Trace.Endpoint))
		if err != nil {
			return nil, fmt.Errorf("trace exporter to %s: %w", c.Trace.Endpoint, err)
		}
		options = append(options, trace.WithBatcher(e))
	}
	return trace.NewTracerProvider(options...), nil
}

// NewPropagator returns the W3C propagator for trace context and baggage.
func NewPropagator() propagation.TextMapPropagator {
	return propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
}

func newResource(c config.Config) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", serviceName),
		attribute.String("service.instance.id", c.Instance.Name),
		attribute.String("cloud.region", c.Instance.Region),
		attribute.String("cloud.availability_zone", c.Instance.Datacentre),
	)
}

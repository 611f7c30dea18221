//go:build deps

// Package deps pins libraries while the first packages that use them are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-kit/log"
	_ "github.com/go-kit/log/level"
	_ "github.com/google/uuid"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/urfave/cli/v3"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.opentelemetry.io/otel/sdk/trace/tracetest"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)

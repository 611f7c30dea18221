package node

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/entry"
)

// sampleSize is the size of the sample of a profile's requests that percentiles are computed from.
const sampleSize = 512

// codeComplete is the metric label of requests with a complete answer.
const codeComplete = "whole"

// refusalCodes are the codes of requests that were refused without being run.
var refusalCodes = map[string]bool{
	dispatch.CodeLeaving: true, dispatch.CodeUnreachable: true, dispatch.CodeStore: true, dispatch.CodeOverload: true,
	dispatch.CodeNoEndpoint: true, dispatch.CodePoison: true, dispatch.CodeProfile: true, dispatch.CodeModel: true,
	dispatch.CodeBody: true, dispatch.CodeRefused: true,
}

// observer counts ended requests. It implements entry.Observer.
type observer struct {
	registry metrics.Registry
}

func newObserver(r metrics.Registry) observer { return observer{registry: r} }

// Ended implements entry.Observer.
func (o observer) Ended(r entry.Report) {
	labels := fmt.Sprintf(";profile=%s;rank=%s", r.Profile, r.Rank)
	code := r.Code
	if code == "" {
		code = codeComplete
	}
	o.counter("requests" + labels + ";code=" + code).Inc(1)
	o.counter("retries" + labels).Inc(int64(r.Retries))
	if r.First > 0 {
		o.histogram("first_milliseconds" + labels).Update(milliseconds(r.First))
	}
	if r.Gap > 0 {
		o.histogram("gap_milliseconds" + labels).Update(milliseconds(r.Gap))
	}
	if Met(r) {
		o.counter("attained" + labels).Inc(1)
	}
}

// milliseconds rounds up, so that a measured time never becomes zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Met reports whether a request got a complete answer within its profile's targets.
func Met(r entry.Report) bool {
	return r.Code == "" && (r.Target == 0 || r.First <= r.Target) && (r.GapTarget == 0 || r.Gap <= r.GapTarget)
}

func (o observer) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, o.registry)
}

func (o observer) histogram(name string) metrics.Histogram {
	return o.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}

package node

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/entry"
)

// sampleSize is how many of the latest requests of a profile are kept for its percentiles.
const sampleSize = 512

// codeWhole labels requests that were answered whole.
const codeWhole = "whole"

// refusals are the codes of requests that were not run.
var refusals = map[string]bool{
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
		code = codeWhole
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

// milliseconds rounds up, so that a time that was seen never shows as none.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Met tells whether a request was answered whole within its profile's targets.
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

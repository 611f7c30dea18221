package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramDigits = 3
	histogramMax    = int64(time.Minute / time.Microsecond)
)

// Comparison measures the overhead of the system: it sends the same requests
// directly to an endpoint and through the system. The two targets alternate, so
// that other load on the machine affects both equally.
type Comparison struct {
	// Rate is requests per second.
	Rate float64
	// TurnDuration is how long requests go to one target before switching to the
	// other.
	TurnDuration time.Duration
	// Rounds is the number of turns of each target.
	Rounds int
	// Warmup is how long each target gets requests before results are recorded.
	Warmup      time.Duration
	MaxInFlight int
	Timeout     time.Duration
	// Call is the template of all calls; a sequence number is appended to its prompt.
	Call Call
}

// Result aggregates the samples of one target.
type Result struct {
	Sent, Complete int
	// Retried counts the complete answers that took more than one try.
	Retried    int
	FirstToken *hdrhistogram.Histogram // microseconds
	SendDelay  *hdrhistogram.Histogram // microseconds
	// Routes counts the complete answers by the components that served them.
	Routes map[Route]int
	// FailedSamples are the first few samples that are not complete.
	FailedSamples []Sample
}

// Route names the components that served a call.
type Route struct{ Instance, Dispatcher, Endpoint string }

const maxFailedSamples = 5

func newResult() *Result {
	return &Result{
		Routes:     map[Route]int{},
		FirstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		SendDelay:  hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// Run alternates between the two targets and returns the result of each.
func (c Comparison) Run(ctx context.Context, direct, system Target) (directResult, systemResult *Result) {
	directResult, systemResult = newResult(), newResult()
	c.runTurn(ctx, direct, c.Warmup, newResult())
	c.runTurn(ctx, system, c.Warmup, newResult())
	for range c.Rounds {
		c.runTurn(ctx, direct, c.TurnDuration, directResult)
		c.runTurn(ctx, system, c.TurnDuration, systemResult)
	}
	return directResult, systemResult
}

func (c Comparison) runTurn(ctx context.Context, target Target, length time.Duration, result *Result) {
	interval := time.Duration(float64(time.Second) / c.Rate)
	calls := make([]Call, int(length/interval))
	for i := range calls {
		calls[i] = c.Call
		calls[i].Due = time.Duration(i) * interval
		calls[i].Prompt = fmt.Sprintf("%s %d", c.Call.Prompt, i)
	}
	for _, s := range NewRunner(target, c.MaxInFlight, c.Timeout, nil).Run(ctx, calls) {
		result.add(s)
	}
}

func (r *Result) add(s Sample) {
	r.Sent++
	_ = r.SendDelay.RecordValue(max(1, min(histogramMax, s.SendDelay.Microseconds())))
	if !s.Complete {
		if len(r.FailedSamples) < maxFailedSamples {
			r.FailedSamples = append(r.FailedSamples, s)
		}
		return
	}
	r.Complete++
	if s.Tries > 1 {
		r.Retried++
	}
	r.Routes[Route{s.Instance, s.Dispatcher, s.Endpoint}]++
	_ = r.FirstToken.RecordValue(max(1, min(histogramMax, s.FirstToken.Microseconds())))
}

// Quantile returns the time to first token at a percentile, 0 to 100.
func (r *Result) Quantile(quantile float64) time.Duration {
	return time.Duration(r.FirstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// Objective is a measured value and the upper limit it should stay within.
type Objective struct {
	Name     string
	Measured float64
	Max      float64
	Unit     string
	Note     string
	// Inconclusive is true if the measurement is too noisy to compare with the limit.
	Inconclusive bool
}

// Met reports whether the measured value is within the limit.
func (o Objective) Met() bool { return o.Measured <= o.Max }

// WriteObjectives writes one row for each objective: the measured value, the
// limit and whether it is met.
func WriteObjectives(w io.Writer, objectives ...Objective) {
	for _, a := range objectives {
		met := "yes"
		switch {
		case a.Inconclusive:
			met = "?"
		case !a.Met():
			met = "no"
		}
		_, _ = fmt.Fprintf(w, "%-42s %10.3f %-5s aim %7.3f  met: %-3s %s\n", a.Name, a.Measured, a.Unit, a.Max, met, a.Note)
	}
}

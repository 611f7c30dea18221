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

// Comparison sends the same stream straight to an endpoint and through the
// system, in turns, so that the machine's other work weighs on both alike.
type Comparison struct {
	// Rate is requests a second.
	Rate float64
	// TurnDuration is how long one way is used before the other's turn.
	TurnDuration time.Duration
	Rounds       int
	// Warmup is how long both ways are used before anything counts.
	Warmup      time.Duration
	MaxInFlight int
	Timeout     time.Duration
	// Call is what is sent; its prompt gets a number.
	Call Call
}

// Result is what was seen on one way.
type Result struct {
	Sent, Complete int
	// Retried counts the whole answers that took more than one try.
	Retried    int
	FirstToken *hdrhistogram.Histogram // microseconds
	SendDelay  *hdrhistogram.Histogram // microseconds
	// Routes counts the whole answers by who served them.
	Routes map[Route]int
	// FailedSamples are some of the samples that are not whole.
	FailedSamples []Sample
}

// Route is who served a call.
type Route struct{ Instance, Dispatcher, Endpoint string }

const maxFailedSamples = 5

func newResult() *Result {
	return &Result{
		Routes:     map[Route]int{},
		FirstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		SendDelay:  hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// Run returns what was seen straight and through the system.
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

func (w *Result) add(s Sample) {
	w.Sent++
	_ = w.SendDelay.RecordValue(max(1, min(histogramMax, s.SendDelay.Microseconds())))
	if !s.Complete {
		if len(w.FailedSamples) < maxFailedSamples {
			w.FailedSamples = append(w.FailedSamples, s)
		}
		return
	}
	w.Complete++
	if s.Tries > 1 {
		w.Retried++
	}
	w.Routes[Route{s.Instance, s.Dispatcher, s.Endpoint}]++
	_ = w.FirstToken.RecordValue(max(1, min(histogramMax, s.FirstToken.Microseconds())))
}

// Quantile returns the time to the first token at a quantile, 0 to 100.
func (w *Result) Quantile(quantile float64) time.Duration {
	return time.Duration(w.FirstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// Objective is a figure beside the most it should be.
type Objective struct {
	Name     string
	Measured float64
	Max      float64
	Unit     string
	Note     string
	// Inconclusive tells that the run can't decide.
	Inconclusive bool
}

// Met tells whether the figure is within its aim.
func (a Objective) Met() bool { return a.Measured <= a.Max }

// WriteObjectives writes figures, each with its aim and whether it is met.
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

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
	histogramMost   = int64(time.Minute / time.Microsecond)
)

// Comparison sends the same stream straight to an endpoint and through the
// system, in turns, so that the machine's other work weighs on both alike.
type Comparison struct {
	// Rate is requests a second.
	Rate float64
	// Turn is how long one way is used before the other's turn.
	Turn   time.Duration
	Rounds int
	// Warm is how long both ways are used before anything counts.
	Warm    time.Duration
	Flight  int
	Longest time.Duration
	// Call is what is sent; its prompt gets a number.
	Call Call
}

// Way is what was seen on one way.
type Way struct {
	Sent, Whole int
	// Again counts the whole answers that took more than one try.
	Again int
	First *hdrhistogram.Histogram // microseconds
	Late  *hdrhistogram.Histogram // microseconds
	// Paths counts the whole answers by who served them.
	Paths map[Path]int
	// Failed are some of the samples that are not whole.
	Failed []Sample
}

// Path is who served a call.
type Path struct{ Instance, Dispatcher, Endpoint string }

const failedKept = 5

func newWay() *Way {
	return &Way{
		Paths: map[Path]int{},
		First: hdrhistogram.New(1, histogramMost, histogramDigits),
		Late:  hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

// Run returns what was seen straight and through the system.
func (c Comparison) Run(ctx context.Context, direct, system Target) (straight, through *Way) {
	straight, through = newWay(), newWay()
	c.turn(ctx, direct, c.Warm, newWay())
	c.turn(ctx, system, c.Warm, newWay())
	for range c.Rounds {
		c.turn(ctx, direct, c.Turn, straight)
		c.turn(ctx, system, c.Turn, through)
	}
	return straight, through
}

func (c Comparison) turn(ctx context.Context, target Target, length time.Duration, way *Way) {
	gap := time.Duration(float64(time.Second) / c.Rate)
	calls := make([]Call, int(length/gap))
	for i := range calls {
		calls[i] = c.Call
		calls[i].Due = time.Duration(i) * gap
		calls[i].Prompt = fmt.Sprintf("%s %d", c.Call.Prompt, i)
	}
	for _, s := range NewRunner(target, c.Flight, c.Longest, nil).Run(ctx, calls) {
		way.add(s)
	}
}

func (w *Way) add(s Sample) {
	w.Sent++
	_ = w.Late.RecordValue(max(1, min(histogramMost, s.Late.Microseconds())))
	if !s.Whole {
		if len(w.Failed) < failedKept {
			w.Failed = append(w.Failed, s)
		}
		return
	}
	w.Whole++
	if s.Tries > 1 {
		w.Again++
	}
	w.Paths[Path{s.Instance, s.Dispatcher, s.Endpoint}]++
	_ = w.First.RecordValue(max(1, min(histogramMost, s.First.Microseconds())))
}

// Quantile returns the time to the first token at a quantile, 0 to 100.
func (w *Way) Quantile(quantile float64) time.Duration {
	return time.Duration(w.First.ValueAtQuantile(quantile)) * time.Microsecond
}

// Aim is a figure beside the most it should be.
type Aim struct {
	Name  string
	Got   float64
	Most  float64
	Unit  string
	Extra string
	// Unsure tells that the run can't decide.
	Unsure bool
}

// Met tells whether the figure is within its aim.
func (a Aim) Met() bool { return a.Got <= a.Most }

// WriteAims writes figures, each with its aim and whether it is met.
func WriteAims(w io.Writer, aims ...Aim) {
	for _, a := range aims {
		met := "yes"
		switch {
		case a.Unsure:
			met = "?"
		case !a.Met():
			met = "no"
		}
		_, _ = fmt.Fprintf(w, "%-42s %10.3f %-5s aim %7.3f  met: %-3s %s\n", a.Name, a.Got, a.Unit, a.Most, met, a.Extra)
	}
}

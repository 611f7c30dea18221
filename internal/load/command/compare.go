package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/load"
)

const (
	maxMedianOverhead = 1.0 // milliseconds
	maxTailOverhead   = 5.0 // milliseconds

	compareMaxInFlight = 4096
	maxIdleConnections = 512
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "send the same requests directly to an endpoint and through the system, and print the added latency",
		Flags: []cli.Flag{
			entryFlag(), standinFlag(), callersFlag(),
			&cli.StringFlag{Name: "endpoint", Required: true, Usage: "`ADDRESS` of the endpoint"},
			&cli.StringFlag{Name: "profile", Required: true, Usage: "`NAME` of the profile"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "`NAME` of the model"},
			&cli.IntFlag{Name: "tokens", Value: 4, Usage: "length of the requested answers"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second"},
			&cli.DurationFlag{Name: "turn", Value: 4 * time.Second, Usage: "time that requests go to one target before switching to the other"},
			&cli.IntFlag{Name: "rounds", Value: 4, Usage: "number of turns of each target"},
			&cli.DurationFlag{Name: "warm", Value: 3 * time.Second, Usage: "time that each target gets requests before results are recorded"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	if c.Float("rate") <= 0 || c.Int("callers") < 1 || c.Duration("turn") <= 0 {
		return fmt.Errorf("%w: want a rate and a turn above 0 and at least 1 caller", errUsage)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	direct := load.NewDirect(c.String("endpoint"), &http.Client{Transport: transport}, newValidator(c))
	system := load.NewSystem(c.Int("callers"), c.StringSlice("entry"), newValidator(c))
	defer system.Close()
	comparison := load.Comparison{
		Rate: c.Float("rate"), TurnDuration: c.Duration("turn"), Rounds: c.Int("rounds"), Warmup: c.Duration("warm"),
		MaxInFlight: compareMaxInFlight, Timeout: 30 * time.Second,
		Call: load.Call{
			Profile: c.String("profile"), Kind: load.KindStream, Target: c.String("model"),
			MaxTokens: c.Int("tokens"), Prompt: "A red glove, number",
		},
	}
	directResult, systemResult := comparison.Run(ctx, direct, system)
	return writeComparison(c.Root().Writer, c.Float("rate"), directResult, systemResult)
}

// writeComparison writes one row per target. WHOLE counts complete answers, AGAIN those that
// took more than one try, and LATE is how far behind schedule requests were sent.
func writeComparison(w io.Writer, rate float64, directResult, systemResult *load.Result) error {
	_, _ = fmt.Fprintf(w, "time to the first token at %g requests a second\n", rate)
	_, _ = fmt.Fprintf(w, "%-10s %9s %9s %9s %9s %9s %9s %9s\n", "WAY", "SENT", "WHOLE", "AGAIN", "P50 MS", "P90 MS", "P99 MS", "LATE P99")
	writeResult(w, "straight", directResult)
	writeResult(w, "system", systemResult)
	for route, count := range systemResult.Routes {
		_, _ = fmt.Fprintf(w, "  %d through entry %s, dispatcher %s, endpoint %s\n", count, route.Instance, route.Dispatcher, route.Endpoint)
	}
	load.WriteObjectives(w, overheadObjective("added to the first token, median", directResult, systemResult, 50, maxMedianOverhead),
		overheadObjective("added to the first token, 99th percentile", directResult, systemResult, 99, maxTailOverhead))
	for _, s := range append(directResult.FailedSamples, systemResult.FailedSamples...) {
		load.WriteSample(w, s)
	}
	if directResult.Complete < directResult.Sent || systemResult.Complete < systemResult.Sent || systemResult.Sent == 0 {
		return errIncomplete
	}
	return nil
}

func writeResult(w io.Writer, name string, result *load.Result) {
	_, _ = fmt.Fprintf(w, "%-10s %9d %9d %9d %9.3f %9.3f %9.3f %9.3f\n", name, result.Sent, result.Complete, result.Retried,
		inMilliseconds(result.Quantile(50)), inMilliseconds(result.Quantile(90)), inMilliseconds(result.Quantile(99)),
		float64(result.SendDelay.ValueAtQuantile(99))/1000)
}

func overheadObjective(name string, directResult, systemResult *load.Result, quantile, limit float64) load.Objective {
	directTime, systemTime := directResult.Quantile(quantile), systemResult.Quantile(quantile)
	return load.Objective{
		// A lower time through the system than direct can only be measurement noise.
		Inconclusive: systemTime < directTime,
		Name:         name, Measured: inMilliseconds(systemTime - directTime), Max: limit, Unit: "ms",
		Note: fmt.Sprintf("ratio %.2f", float64(systemTime)/float64(max(directTime, 1))),
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

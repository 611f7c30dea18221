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
	aimMedian = 1.0 // milliseconds
	aimTail   = 5.0 // milliseconds

	compareFlight = 4096
	connections   = 512
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "send the same stream straight to an endpoint and through the system, and print the time added",
		Flags: []cli.Flag{
			entryFlag(), standinFlag(), callersFlag(),
			&cli.StringFlag{Name: "endpoint", Required: true, Usage: "`ADDRESS` of the endpoint"},
			&cli.StringFlag{Name: "profile", Required: true, Usage: "`NAME` of the profile"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "`NAME` of the model"},
			&cli.IntFlag{Name: "tokens", Value: 4, Usage: "length of answers"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests a second"},
			&cli.DurationFlag{Name: "turn", Value: 4 * time.Second, Usage: "time on one way before the other's turn"},
			&cli.IntFlag{Name: "rounds", Value: 4, Usage: "turns on each way"},
			&cli.DurationFlag{Name: "warm", Value: 3 * time.Second, Usage: "time on each way that does not count"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	if c.Float("rate") <= 0 || c.Int("callers") < 1 || c.Duration("turn") <= 0 {
		return fmt.Errorf("%w: want a rate and a turn above 0 and 1 caller or more", errUsage)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	direct := load.NewDirect(c.String("endpoint"), &http.Client{Transport: transport}, expect(c))
	system := load.NewSystem(c.Int("callers"), c.StringSlice("entry"), expect(c))
	defer system.Close()
	comparison := load.Comparison{
		Rate: c.Float("rate"), Turn: c.Duration("turn"), Rounds: c.Int("rounds"), Warm: c.Duration("warm"),
		Flight: compareFlight, Longest: 30 * time.Second,
		Call: load.Call{
			Profile: c.String("profile"), Kind: load.KindStream, Target: c.String("model"),
			Tokens: c.Int("tokens"), Prompt: "A red glove, number",
		},
	}
	straight, through := comparison.Run(ctx, direct, system)
	return writeComparison(c.Root().Writer, c.Float("rate"), straight, through)
}

func writeComparison(w io.Writer, rate float64, straight, through *load.Way) error {
	_, _ = fmt.Fprintf(w, "time to the first token at %g requests a second\n", rate)
	_, _ = fmt.Fprintf(w, "%-10s %9s %9s %9s %9s %9s %9s %9s\n", "WAY", "SENT", "WHOLE", "AGAIN", "P50 MS", "P90 MS", "P99 MS", "LATE P99")
	writeWay(w, "straight", straight)
	writeWay(w, "system", through)
	for path, count := range through.Paths {
		_, _ = fmt.Fprintf(w, "  %d through entry %s, dispatcher %s, endpoint %s\n", count, path.Instance, path.Dispatcher, path.Endpoint)
	}
	load.WriteAims(w, added("added to the first token, median", straight, through, 50, aimMedian),
		added("added to the first token, 99th percentile", straight, through, 99, aimTail))
	for _, s := range append(straight.Failed, through.Failed...) {
		load.WriteSample(w, s)
	}
	if straight.Whole < straight.Sent || through.Whole < through.Sent || through.Sent == 0 {
		return errNotWhole
	}
	return nil
}

func writeWay(w io.Writer, name string, way *load.Way) {
	_, _ = fmt.Fprintf(w, "%-10s %9d %9d %9d %9.3f %9.3f %9.3f %9.3f\n", name, way.Sent, way.Whole, way.Again,
		inMilliseconds(way.Quantile(50)), inMilliseconds(way.Quantile(90)), inMilliseconds(way.Quantile(99)),
		float64(way.Late.ValueAtQuantile(99))/1000)
}

func added(name string, straight, through *load.Way, quantile, most float64) load.Aim {
	short, long := straight.Quantile(quantile), through.Quantile(quantile)
	return load.Aim{
		// Less time through the system than straight is the machine's noise.
		Unsure: long < short,
		Name:   name, Got: inMilliseconds(long - short), Most: most, Unit: "ms",
		Extra: fmt.Sprintf("ratio %.2f", float64(long)/float64(max(short, 1))),
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

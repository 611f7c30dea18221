// Command chiveramp-measure simulates the scheduling policies in virtual time and prints
// a comparison.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/measure"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chiveramp-measure:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "chiveramp-measure",
		Usage: "simulate the policies with fake endpoints in virtual time and compare them with simple baselines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds"},
			&cli.StringFlag{Name: "scene", Usage: "run only scenes whose name contains this text"},
			&cli.StringFlag{Name: "against", Value: "baselines", Usage: "what to compare with: baselines, none or variants"},
			&cli.StringFlag{Name: "policy", Usage: "compare only with policies whose name contains this text"},
			&cli.IntFlag{Name: "parallel", Value: max(runtime.NumCPU()/2, 1), Usage: "number of concurrent runs"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	policies, err := measure.ComparedPolicies(c.String("against"))
	if err != nil {
		return fmt.Errorf("flag against: %w", err)
	}
	suite := measure.Suite{
		Deployments: []measure.Deployment{measure.Guaiba(), measure.Gopherline()},
		Scene:       c.String("scene"),
		Policies:    measure.FilterPolicies(policies, c.String("policy")),
		Parallel:    c.Int("parallel"),
	}
	for seed := range max(c.Int("seeds"), 1) {
		suite.Seeds = append(suite.Seeds, uint64(seed+1))
	}
	cells, err := suite.Run(ctx)
	if err != nil {
		return err
	}
	return measure.Report(os.Stdout, cells)
}

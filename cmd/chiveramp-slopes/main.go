// Command chiveramp-slopes measures how the resource use of the components grows with the
// size of the fleet, and prints an extrapolation for one instance of the target fleet.
package main

import (
	"fmt"
	"os"

	"github.com/chiveramp/chiveramp/internal/slopes"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "chiveramp-slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	report := &slopes.Report{}
	base, err := slopes.Measure(report)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	fmt.Println()
	if err := report.PrintTarget(os.Stdout, base); err != nil {
		return err
	}
	fmt.Println()
	return printRecoveryTimes()
}

// printRecoveryTimes prints how long takeovers after a failure and document changes take,
// in virtual time.
func printRecoveryTimes() error {
	for _, n := range []int{33, 110, 420} {
		list, err := slopes.Losses(n)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		for _, l := range list {
			fmt.Printf("%d instances, %s: %v\n", n, l.Name, l.Time)
		}
	}
	return nil
}

// Command chiveramp-tally reads log lines of instances from standard input and prints how requests
// were served under load: chiveramp-tally < LOG.
package main

import (
	"fmt"
	"os"

	"github.com/chiveramp/chiveramp/internal/tally"
)

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveramp-tally:", err)
		os.Exit(1)
	}
}

func run() error {
	requests, err := tally.Read(os.Stdin)
	if err != nil {
		return err
	}
	return tally.Count(requests).Print(os.Stdout)
}

// Command chiverampd runs one instance of the serving system.
package main

import (
	"context"
	"os"

	"github.com/chiveramp/chiveramp/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(context.Background(), os.Args, os.Stderr))
}

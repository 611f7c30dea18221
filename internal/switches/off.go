//go:build proofs

package switches

import (
	"os"
	"slices"
	"strings"
)

const exitKilled = 137

// Off reports whether a mechanism is named in the variable CHIVERAMP_OFF, a comma list.
func Off(m Mechanism) bool {
	return slices.Contains(strings.Split(os.Getenv("CHIVERAMP_OFF"), ","), string(m))
}

// Reach ends this process, as a kill does, when the key says so: "die-STEP-PID".
func Reach(s Step, key string) {
	if key == DeathKey(s, os.Getpid()) {
		os.Exit(exitKilled)
	}
}

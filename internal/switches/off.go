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

// CrashAt exits the process like SIGKILL does when the idempotency key is "die-STEP-PID" for
// this crash point and this process.
func CrashAt(s CrashPoint, key string) {
	if key == CrashKey(s, os.Getpid()) {
		os.Exit(exitKilled)
	}
}

//go:build proofs

package switches

import (
	"os"
	"slices"
	"strings"
)

const exitKilled = 137

// Off reports whether a mechanism is listed in the environment variable CHIVERAMP_OFF, which is
// comma-separated.
func Off(m Mechanism) bool {
	return slices.Contains(strings.Split(os.Getenv("CHIVERAMP_OFF"), ","), string(m))
}

// CrashAt exits the process with the status of a SIGKILL if the idempotency key is
// "die-STEP-PID" for this crash point and process.
func CrashAt(s CrashPoint, key string) {
	if key == CrashKey(s, os.Getpid()) {
		os.Exit(exitKilled)
	}
}

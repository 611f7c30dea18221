//go:build !proofs

package switches

// Off reports whether a mechanism is off.
func Off(Mechanism) bool { return false }

// CrashAt does nothing.
func CrashAt(CrashPoint, string) {}

//go:build !proofs

package switches

// Off always returns false: mechanisms can only be turned off in builds with the tag "proofs".
func Off(Mechanism) bool { return false }

// CrashAt does nothing in builds without the tag "proofs".
func CrashAt(CrashPoint, string) {}

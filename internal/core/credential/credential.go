// Package credential compares secrets that callers and operators present.
package credential

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Digest is the SHA-256 of a secret. Secrets are kept and looked up by their digest, so that
// the time of a comparison depends neither on their length nor on a common prefix.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// IsZero reports whether the digest is that of no secret.
func (d Digest) IsZero() bool { return d == Digest{} }

// String keeps digests out of logs.
func (d Digest) String() string { return "digest" }

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

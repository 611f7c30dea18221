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

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

package entry

import (
	"github.com/cespare/xxhash/v2"
)

// setFingerprint sets a hash that equal requests share. It identifies poison requests, and
// idempotency keys that are reused for a different request.
func (p *plan) setFingerprint() {
	if p.request.Fingerprint != 0 {
		return
	}
	digest := xxhash.New()
	for _, part := range []string{p.request.Method, p.request.Path, p.request.Service, p.request.Model} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(p.attemptBody)
	p.request.Fingerprint = digest.Sum64()
}

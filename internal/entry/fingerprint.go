package entry

import (
	"github.com/cespare/xxhash/v2"
)

// fingerprint marks equal requests, so that one that kills endpoints and a key
// that is used for another request are both known again.
func (p *plan) fingerprint() {
	if p.request.Fingerprint != 0 {
		return
	}
	digest := xxhash.New()
	for _, part := range []string{p.request.Method, p.request.Path, p.request.Service, p.request.Model} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(p.kept)
	p.request.Fingerprint = digest.Sum64()
}

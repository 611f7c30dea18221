package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// TrialEndpoint returns the one endpoint, among those that could take it, where a suspect
// runs. All instances choose the same one, so that copies of a suspect that arrive at
// different instances queue up behind each other there. It is empty without endpoints.
func TrialEndpoint(f Fingerprint, endpoints []fleet.Endpoint) fleet.Endpoint {
	var best fleet.Endpoint
	var bestScore uint64
	for _, e := range endpoints {
		raw := binary.LittleEndian.AppendUint64([]byte(e), uint64(f))
		if score := xxhash.Sum64(raw); best == "" || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

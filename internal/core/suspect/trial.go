package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// TrialEndpoint chooses the endpoint, among those that could serve it, where a suspect
// runs. It uses rendezvous hashing, so that all instances choose the same one: duplicates
// of a suspect that arrive at different instances then queue at one endpoint. It returns
// an empty name if there are no endpoints.
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

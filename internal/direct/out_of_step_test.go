package direct

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

func entryOfVersion(t *testing.T, id, version string) []byte {
	t.Helper()
	var entry map[string]any
	require.NoError(t, json.Unmarshal(standin.EntryText(id, "board", "a"), &entry))
	entry["version"] = version
	text, err := json.Marshal(entry)
	require.NoError(t, err)
	return text
}

// An instance that was cut off while a new version of the endpoints' software was listed continues a stream
// at the earlier version, although the new one began it.
func TestInstanceOutOfStepDuringARelease(t *testing.T) {
	type outage struct{ peers, store bool }
	for _, cut := range []outage{{peers: true}, {store: true}, {peers: true, store: true}} {
		for _, storeDown := range []bool{false, true} { // for all, once the stream has begun
			t.Run(fmt.Sprintf("%+v, store down %t", cut, storeDown), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 9)
					defer f.close()
					list := func(id, version string) {
						f.store.Set(platform.EntryPrefix+id, entryOfVersion(t, id, version))
					}
					list("old", "v1")
					time.Sleep(70 * time.Second) // all are settled
					out, other := f.nodes[4], f.nodes[8]
					out.isolated.Store(cut.peers)
					out.setCut(cut.store)
					time.Sleep(500 * time.Millisecond)
					list("new", "v2")
					time.Sleep(900 * time.Millisecond)
					for n := range 6 {
						id := fmt.Sprint("stream-", n)
						gatewayFleet{other.state, other.Node}.StreamBegan(t.Context(), origin.Stream{Service: "board", ID: id, Software: "v2"})
					}
					if storeDown {
						f.store.SetFault(standin.FaultDown)
					}
					joined := 0
					for step := range 40 {
						if step == 15 {
							out.isolated.Store(false)
							out.setCut(false)
						}
						software, err := gatewayFleet{out.state, out.Node}.Origin(t.Context(), "board", fmt.Sprint("stream-", step%6))
						if err == nil && software != fleet.Software("v2") {
							joined++
						}
						time.Sleep(100 * time.Millisecond)
					}
					assert.Zero(t, joined, "of 40 questions")
				})
			})
		}
	}
}

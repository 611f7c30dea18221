package direct

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Heartbeats of another region that wait on their way show that the link is full, once for each time.
func TestFullLinkIsLogged(t *testing.T) {
	var output bytes.Buffer
	w := &testClock{}
	s := newTestState(w)
	s.logger = log.NewLogfmtLogger(&output)
	sequence := uint64(0)
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 0} {
		for range 20 {
			sequence++
			w.elapsed += 200 * time.Millisecond
			b := heartbeatFrom(sequence, w.elapsed-delay)
			b.Place = fleet.Place{Region: "north", DataCentre: "c"}
			s.receiveHeartbeat(b)
			s.cleanUp()
		}
	}
	assert.Equal(t, 1, strings.Count(output.String(), "step=link from=north now=full delay=500ms"), output.String())
	assert.Equal(t, 1, strings.Count(output.String(), "step=link from=north now=clear"), output.String())
}

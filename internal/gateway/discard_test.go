package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// bodyCounts takes the faults of bodies.
type bodyCounts struct {
	gateway.Stats
	faults chan gateway.BodyFault
}

func (c *bodyCounts) BodyRefused(fault gateway.BodyFault) { c.faults <- fault }

func (*bodyCounts) Abandoned(gateway.Phase) {}

// A caller whose request is refused gets the whole answer at once. What it still sends is read for a limited
// time, which a caller that sends nothing more can't stretch.
func TestRestOfARefusedBodyIsReadForALimitedTime(t *testing.T) {
	const id = "Request-Id: r1\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20+1, strings.Repeat("b", 1<<20+1))
	tests := []struct {
		name, text string
		wantStatus int
		wantFault  gateway.BodyFault
	}{
		{name: "no memory", text: id + "Content-Length: 900000\r\n\r\nb", wantStatus: http.StatusServiceUnavailable, wantFault: gateway.BodyNoMemory},
		{name: "no memory, in chunks", text: id + "Transfer-Encoding: chunked\r\n\r\n" + chunk[:900000], wantStatus: http.StatusServiceUnavailable, wantFault: gateway.BodyNoMemory},
		{name: "too large", text: id + "Content-Length: 9000000\r\n\r\nb", wantStatus: http.StatusRequestEntityTooLarge, wantFault: gateway.BodyTooLarge},
		{name: "malformed", text: "Content-Length: 9\r\n\r\nb", wantStatus: http.StatusBadRequest},
		{name: "malformed, in chunks", text: "Transfer-Encoding: chunked\r\n\r\n1\r\n", wantStatus: http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
			counts := &bodyCounts{faults: make(chan gateway.BodyFault, 1)}
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), largeBodies{f}, time.Now,
				gateway.WithBodyMemory(1<<20), gateway.WithDiscardTime(100*time.Millisecond), gateway.WithStats(counts))
			conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\n"+tt.text)
			got := readAnswer(t, conn)
			assert.Equal(t, tt.wantStatus, got.status)
			assert.True(t, got.closes)
			assert.NotEmpty(t, got.header.Get("Content-Length"), "the answer is whole")
			_, err := io.Copy(io.Discard, conn)
			require.NoError(t, err, "the connection is closed")
			assert.Zero(t, f.runs())
			close(counts.faults)
			assert.Equal(t, tt.wantFault, <-counts.faults)
		})
	}
}

// A caller that reads only after it has sent everything gets the refusal, though it came while it sent.
func TestCallerThatStillSendsGetsTheRefusal(t *testing.T) {
	const pieces = 50
	piece := strings.Repeat("b", 1<<10)
	tests := []struct {
		name, framing, piece string
	}{
		{name: "with a length", framing: fmt.Sprintf("Content-Length: %d", pieces<<10), piece: piece},
		{name: "in chunks", framing: "Transfer-Encoding: chunked", piece: fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), largeBodies{f}, time.Now, gateway.WithBodyTime(100*time.Millisecond))
			conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\n"+tt.framing+"\r\n\r\n")
			for range pieces {
				_, err := io.WriteString(conn, tt.piece)
				require.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, http.StatusRequestTimeout, readAnswer(t, conn).status)
		})
	}
}

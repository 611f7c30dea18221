package direct

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// An instance that learns late of a second version names the streams that it began before, so that
// another instance keeps them at their version after its loss.
func TestStreamsBegunBeforeASecondVersionWasListed(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	entry := func(id fleet.Endpoint, revision int64, software fleet.Software) {
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: revision, Entry: roster.Entry{ID: id, Service: "s", Software: software, Revision: revision}}}, revision, false)
	}
	s.roster = roster.New()
	s.origins = origin.NewTable()
	for i := range 3 {
		b := heartbeatFrom(1, 0)
		b.Peer.Instance, b.Peer.Address = fleet.Instance(fmt.Sprint("peer", i)), fmt.Sprint("address", i)
		s.receiveHeartbeat(b)
	}
	entry("q", 2, "1")
	stream := origin.Stream{Service: "s", ID: "r1", Software: "1"}
	s.StreamBegan(stream)
	assert.False(t, s.hasUnnamedStreams(), "one version serves")
	entry("r", 3, "2")
	require.True(t, s.hasUnnamedStreams())
	calls := s.streamsToName()
	require.Len(t, calls, 2, "two keepers")
	for _, c := range calls {
		assert.Equal(t, []origin.Stream{stream}, c.Streams)
	}
	keeper := newTestState(w)
	keeper.keepStreams([]origin.Stream{stream})
	assert.Equal(t, fleet.Software("1"), keeper.findOrigin(&gossip.FindOrigin{Service: "s", ID: "r1"}).Software)
}

// A version that an instance learns of together with its removal may have begun streams elsewhere.
func TestVersionsRemovedInTheSameBatchAreObserved(t *testing.T) {
	s := newTestState(&testClock{})
	s.roster, s.origins = roster.New(), origin.NewTable()
	s.recordHistory(0, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1"}}})
	first := roster.Record{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", Software: "1", Revision: 2}}
	s.applyRecords(fromStore, []roster.Record{first}, 2, true)
	stream := origin.Stream{Service: "s", ID: "r1", Software: "1"}
	s.StreamBegan(stream)
	second := roster.Record{ID: "r", Revision: 3, Entry: roster.Entry{ID: "r", Service: "s", Software: "2", Revision: 3}}
	s.applyRecords(fromStore, []roster.Record{second, {ID: "r", Revision: 4, Removed: true}}, 4, false)
	assert.Equal(t, []fleet.Software{"1", "2"}, s.findOrigin(&gossip.FindOrigin{Service: "s", ID: "r2"}).Versions)
	streams, _ := s.streamsToStore(maxStreamWrites)
	assert.Contains(t, streams, stream)
}

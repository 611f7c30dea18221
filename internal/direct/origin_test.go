package direct

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// A stream of unknown origin goes on only if a single version may have begun it, and if whoever
// might know of another has been asked.
func TestUnknownOriginsAreRefusedBesideOtherVersions(t *testing.T) {
	reply := func(known fleet.Software, versions ...fleet.Software) *gossip.FindOriginReply {
		return &gossip.FindOriginReply{Known: known != "", Software: known, Versions: versions}
	}
	version := func(v fleet.Software) *fleet.Software { return &v }
	tests := []struct {
		name   string
		own    *gossip.FindOriginReply
		others []*gossip.FindOriginReply
		store  bool // the store has answered lately
		want   *fleet.Software
		err    error
	}{
		{name: "known here", own: reply("1", "1", "2"), want: version("1")},
		{name: "known to a keeper", own: reply("", "1", "2"), others: []*gossip.FindOriginReply{nil, reply("", "1", "2"), reply("2", "1", "2")}, want: version("2")},
		{name: "lost, two versions", own: reply("", "1", "2"), others: []*gossip.FindOriginReply{reply("", "1", "2")}, store: true, err: gateway.ErrUnknownOrigin},
		{name: "a keeper knows of another version", own: reply("", "1"), others: []*gossip.FindOriginReply{reply("", "1", "2")}, store: true, err: gateway.ErrUnknownOrigin},
		{name: "one version", own: reply("", "1"), others: []*gossip.FindOriginReply{nil, reply("", "1")}, want: version("1")},
		{name: "one version, cut off", own: reply("", "1"), others: []*gossip.FindOriginReply{nil, nil}, err: gateway.ErrUnknownOrigin},
		{name: "one version, no keeper answers, but the store does", own: reply("", "1"), others: []*gossip.FindOriginReply{nil, nil}, store: true, want: version("1")},
		{name: "one version, alone", own: reply("", "1"), want: version("1")},
		{name: "no endpoints listed", own: reply("")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &testClock{}
			s := newTestState(w)
			if tt.store {
				s.storeAnsweredAt = w.now()
			}
			software, err := s.decideOrigin(tt.own, tt.others)
			require.ErrorIs(t, err, tt.err)
			assert.Equal(t, tt.want, software)
		})
	}
}

// An instance that learns late of a second version names the streams that it began before, so that
// another instance keeps them at their version after its loss.
func TestStreamsBegunBeforeASecondVersionWasListed(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	entry := func(id fleet.Endpoint, revision int64, software fleet.Software) {
		s.applyRecords([]roster.Record{{ID: id, Revision: revision, Entry: roster.Entry{ID: id, Service: "s", Software: software, Revision: revision}}}, revision, false)
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

package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// evenState returns an instance whose service of engines is spread by backlogs.
func evenState(w *testClock) *state {
	s := newTestState(w)
	s.catalog = &catalog.Catalog{Groups: []catalog.Group{{Name: "s", Engine: &catalog.Engine{}}}}
	s.loadFeatures.settings.Even, s.loadFeatures.settings.Plain, s.loadFeatures.othersKnown = 1, 1, true
	s.heartbeat()
	return s
}

func heartbeatWithFeatures(sequence uint64, sent time.Duration) *gossip.Heartbeat {
	b := heartbeatFrom(sequence, sent)
	b.Features = feature.Announced()
	return b
}

// While all instances of a fleet can spread requests by backlogs, heartbeats have the backlogs of
// endpoints in place of their loads; while one can't, they have the loads that it reads.
func TestHeartbeatsHaveBacklogsInPlaceOfLoads(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	request := &balance.Request{Service: "s", PromptTokens: 4000}
	s.balancer.Started("p", request)
	admit := &gossip.Admit{Endpoint: "p", Work: 300 * time.Millisecond, Limit: time.Second}
	assert.Equal(t, gossip.BacklogWork{300, 300, 300}, s.admit(admit).Backlog)
	refused := s.admit(&gossip.Admit{Endpoint: "p", Work: 300 * time.Millisecond})
	assert.True(t, refused.Refused)
	assert.Equal(t, gossip.BacklogWork{300, 300, 300}, refused.Backlog, "a refusal has it too")
	w.elapsed = 100 * time.Millisecond
	_, b := s.heartbeat()
	assert.Empty(t, b.Loads)
	assert.Equal(t, []gossip.Backlog{{Endpoint: "p", Work: gossip.BacklogWork{200, 200, 200}, Slowness: 100}}, b.Backlogs)

	s.receiveHeartbeat(heartbeatFrom(1, w.elapsed)) // an instance of an earlier build
	_, b = s.heartbeat()
	assert.Contains(t, b.Loads, fleet.Endpoint("p"))
	assert.Empty(t, b.Backlogs)
	assert.Empty(t, s.admit(admit).Backlog)

	s.receiveHeartbeat(heartbeatWithFeatures(2, w.elapsed))
	_, b = s.heartbeat()
	assert.Empty(t, b.Loads)
	assert.Len(t, b.Backlogs, 1)
}

// The next choice goes by the backlog in the newest admission or heartbeat, less
// what the endpoint has done since.
func TestReportedBacklogs(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	s.receiveHeartbeat(heartbeatWithFeatures(1, w.elapsed))
	var remote *roster.Endpoint
	for i := 0; remote == nil; i++ {
		id := fleet.Endpoint(fmt.Sprint("p", i))
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 2, Entry: roster.Entry{ID: id, Service: "s", Revision: 2}}}, 2, false)
		if address, _ := s.admitter(id); address == "b:1" {
			remote = s.roster.Get(id)
		}
	}
	ahead := func() time.Duration {
		d, _ := backlogs{s, w.now()}.Ahead(remote, 1)
		return d
	}
	s.receiveAdmission(gateway.Target{ID: remote.ID}, nil, &gossip.AdmitReply{Backlog: gossip.BacklogWork{100, 300, 400}}, w.now(), 0)
	assert.Equal(t, 300*time.Millisecond, ahead())
	w.elapsed = 200 * time.Millisecond
	assert.Equal(t, 100*time.Millisecond, ahead())
	b := heartbeatWithFeatures(2, w.elapsed)
	b.Backlogs = []gossip.Backlog{{Endpoint: remote.ID, Work: gossip.BacklogWork{500, 600, 700}}}
	s.receiveHeartbeat(b)
	assert.Equal(t, 600*time.Millisecond, ahead())
	s.receiveHeartbeat(heartbeatWithFeatures(3, w.elapsed))
	w.elapsed += time.Millisecond
	s.receiveHeartbeat(heartbeatWithFeatures(4, w.elapsed))
	assert.Zero(t, ahead(), "it is not listed any more")
	s.admitterFailed(remote.ID)
	assert.Equal(t, unboundedWait, ahead(), "others send there too, and none is admitted")
	w.elapsed += admitterBackoff
	assert.Zero(t, ahead())
}

// Requests that are on their way to an endpoint are added to what its owner has reported.
func TestChosenRequestsCountBeforeTheyAreAdmitted(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	s.receiveHeartbeat(heartbeatWithFeatures(1, w.elapsed))
	for i := range 6 {
		id := fleet.Endpoint(fmt.Sprint("q", i))
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 2, Entry: roster.Entry{ID: id, Service: "s", Slots: 64, Models: []roster.Holding{{Model: "m"}}, Revision: 2}}}, 2, false)
	}
	s.loadFeatures.even = map[catalog.Service]bool{"s": true}
	request := &balance.Request{Service: "s", Model: "m", PromptTokens: 20_000, Target: 800 * time.Millisecond, Place: s.place}
	chosen := make(map[fleet.Endpoint]int)
	for range 4 {
		target, err := s.Choose(request)
		require.NoError(t, err)
		chosen[target.ID]++
	}
	for id, n := range chosen {
		if address, _ := s.admitter(id); address != "" {
			assert.Equal(t, 1, n, "a second prompt would be late there")
		}
	}
}

// An instance gets by with no more bytes for backlogs than for loads: it has requests at more
// endpoints than it admits the requests of.
func TestBacklogsTakeFewerBytesThanLoads(t *testing.T) {
	const endpoints, instances = 90, 79
	loads := make(map[fleet.Endpoint]balance.Load)
	for i := range 4 { // of some 300 requests in flight
		loads[fleet.Endpoint(fmt.Sprint("i-fdda82cff", i))] = balance.Load{Running: 1, Pending: [3]time.Duration{0, time.Duration(i) * 17_131_222}}
	}
	var backlogs []gossip.Backlog
	for i := range endpoints/instances + 1 {
		backlogs = append(backlogs, gossip.Backlog{Endpoint: fleet.Endpoint(fmt.Sprint("i-fdda82cff", i)), Work: gossip.BacklogWork{113, 240, 240}})
	}
	size := func(change func(b *gossip.Heartbeat)) int {
		b := heartbeatWithFeatures(7, time.Second)
		change(b)
		packed, err := gossip.Pack(b)
		require.NoError(t, err)
		return len(packed.Data)
	}
	assert.Less(t, size(func(b *gossip.Heartbeat) { b.Backlogs = backlogs }), size(func(b *gossip.Heartbeat) { b.Loads = loads }))
}

package direct

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// The instance that admits an endpoint's requests gets answers of others that are slow: it schedules
// their prompts for longer, says so to all, and forgets it within seconds.
func TestOwnerLearnsThatAnEndpointIsSlow(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	slow := gossip.Answer{Endpoint: "p", Ratio: 300, LateMs: 200}
	assert.Equal(t, &gossip.AdmitReply{}, s.admit(&gossip.Admit{Answers: []gossip.Answer{slow, slow, slow, slow}}), "it asks for nothing")
	assert.Empty(t, s.schedules)
	reply := s.admit(&gossip.Admit{Endpoint: "p", Work: 100 * time.Millisecond, Limit: time.Second, Slowness: 150})
	assert.Equal(t, gossip.BacklogWork{200, 200, 200}, reply.Backlog, "its sender took it to be 1.5 times slower, it is 3 times")
	assert.Equal(t, gossip.Percent(300), reply.Slowness)
	assert.Equal(t, int32(200), reply.DelayMs, "each answer was late by the same delay")
	assert.True(t, s.admit(&gossip.Admit{Endpoint: "p", Work: 100 * time.Millisecond, Limit: 250 * time.Millisecond, Slowness: 150}).Refused, "it ends too late")
	w.elapsed = time.Second
	_, b := s.heartbeat()
	assert.Equal(t, []gossip.Backlog{{Endpoint: "p", Slowness: 300}}, b.Backlogs)
	w.elapsed = 3 * time.Second
	_, b = s.heartbeat()
	assert.Empty(t, b.Backlogs)
	s.receiveAnswers(slices.Repeat([]gossip.Answer{{Endpoint: "p", Born: 7, Ratio: 300}}, 3))
	assert.InDelta(t, 1, s.slowness.Of(w.now(), "p"), 0, "of another incarnation")
}

// What an answer shows is sent to the instance that admits the endpoint's requests.
func TestSlowAnswersAreSentToTheOwner(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	s.receiveHeartbeat(heartbeatWithFeatures(1, w.elapsed))
	s.loadFeatures.even = map[catalog.Service]bool{"s": true}
	s.applyRecords(fromStore, []roster.Record{{ID: "p", Removed: true, Revision: 2}}, 2, false)
	var remote fleet.Endpoint
	for _, id := range []fleet.Endpoint{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 3, Entry: roster.Entry{ID: id, Service: "s", Slots: 64, Models: []roster.Holding{{Model: "m"}}, Revision: 3}}}, 3, false)
		if address, _ := s.admitter(id); address == "b:1" {
			remote = id
		}
	}
	require.NotEmpty(t, remote)
	answer := func(took time.Duration) {
		a := &balance.Request{Service: "s", Model: "m", PromptTokens: 4000, Place: s.place}
		for id := range idsOf(s) {
			if id != remote {
				a.Exclude = append(a.Exclude, id)
			}
		}
		target, err := s.Choose(a)
		require.NoError(t, err)
		require.Equal(t, remote, target.ID)
		s.receiveAdmission(target, a, &gossip.AdmitReply{Backlog: gossip.BacklogWork{100}, DelayMs: 5}, w.now(), 0)
		w.elapsed += took
		s.Answered(target, a, took)
		s.Ended(target, a, true)
		assert.Empty(t, s.expectations)
	}
	for range 8 {
		answer(100 * time.Millisecond)
	}
	assert.False(t, s.hasUnsentAnswers(), "nothing remarkable")
	answer(400 * time.Millisecond)
	told := s.takeUnsentAnswers()["b:1"]
	require.Len(t, told, 1)
	assert.Equal(t, remote, told[0].Endpoint)
	assert.Equal(t, int32(5), told[0].DelayMs)
	assert.Greater(t, told[0].Ratio.Factor(), 2.0)
	assert.Greater(t, told[0].LateMs, int32(100))
	assert.False(t, s.hasUnsentAnswers())
}

func idsOf(s *state) map[fleet.Endpoint]struct{} {
	all := make(map[fleet.Endpoint]struct{})
	for _, e := range s.roster.All() {
		all[e.ID] = struct{}{}
	}
	return all
}

// Requests without a model avoid an endpoint that is slow, beside a service that is spread.
func TestPlainServicesAvoidSlowEndpoints(t *testing.T) {
	w := &testClock{}
	s := evenState(w)
	for _, id := range []fleet.Endpoint{"q1", "q2"} {
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 2, Entry: roster.Entry{ID: id, Service: "plain", Slots: 6, DataCentre: "a", Revision: 2}}}, 2, false)
	}
	s.random = func() float64 { return 0.5 }
	choose := func() gateway.Target {
		a := &balance.Request{Service: "plain", Place: s.place}
		target, err := s.Choose(a)
		require.NoError(t, err)
		s.Ended(target, a, false)
		return target
	}
	assert.Equal(t, fleet.Endpoint("q1"), choose().ID)
	s.receiveAnswers(slices.Repeat([]gossip.Answer{{Endpoint: "q1", Ratio: 300}}, 3))
	assert.Equal(t, fleet.Endpoint("q2"), choose().ID)
	s.random = func() float64 { return 0.3 }
	assert.Equal(t, fleet.Endpoint("q1"), choose().ID, "it gets a third")
	w.elapsed = 3 * time.Second
	s.random = func() float64 { return 0.9 }
	assert.Equal(t, fleet.Endpoint("q1"), choose().ID, "it is forgotten")
}

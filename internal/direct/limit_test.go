package direct

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

var limitedTarget = gateway.Target{ID: "p"}

// limitBound is what an endpoint may get in limitWindow: half as much again as its limit, and
// five requests.
func limitBound(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

const limitWindow = 4 * time.Second

// Many instances that each see little load keep to an endpoint's limit together, through the
// instance that admits its requests, and on their own while that one doesn't answer.
func TestInstancesShareALimit(t *testing.T) {
	for _, c := range []struct {
		instances int
		perSecond float64
		silent    bool // the instance that admits doesn't answer
	}{
		{9, 1, false},
		{9, 1, true},
		{9, 40, false},
		{60, 1.3, true},
		{295, 1, false},
		{295, 20, true},
	} {
		t.Run(fmt.Sprintf("%d instances, %v a second, silent %v", c.instances, c.perSecond, c.silent), func(t *testing.T) {
			w := &testClock{}
			random := rand.New(rand.NewPCG(1, uint64(c.instances)))
			all := make([]*state, c.instances)
			for i := range all {
				all[i] = newTestStateOf(w, fleet.Instance(fmt.Sprint(i)))
				for peer := range c.instances {
					if peer == i {
						continue
					}
					all[i].view.Observe(w.now(), member.Peer{Instance: fleet.Instance(fmt.Sprint(peer)), Incarnation: "1", Sequence: 1})
				}
				all[i].RecordLimit(limitedTarget, true, c.perSecond)
			}
			var sent []time.Duration
			for w.elapsed < 20*time.Second {
				w.elapsed += 5 * time.Millisecond // 200 requests a second
				asker := all[random.IntN(len(all))]
				admission := asker.takeOwnShare(limitedTarget, 100*time.Millisecond)
				if !c.silent {
					reply := all[0].admit(&gossip.Admit{Endpoint: "p", Limit: 100 * time.Millisecond, Rate: asker.knownLimit(limitedTarget)})
					admission = gateway.Admission{Hold: reply.Hold, Refused: reply.Refused}
				}
				if !admission.Refused {
					sent = append(sent, w.elapsed+admission.Hold)
				}
			}
			most := 0
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at-sent[i] < limitWindow {
						n++
					}
				}
				most = max(most, n)
			}
			assert.LessOrEqual(t, float64(most), limitBound(c.perSecond))
			if !c.silent {
				assert.GreaterOrEqual(t, float64(len(sent)), 0.9*c.perSecond*w.elapsed.Seconds()-1)
			}
		})
	}
}

// What an instance learns of a limit reaches others by heartbeats, over several hops; older news
// don't undo newer ones.
func TestLimitsArePassedOn(t *testing.T) {
	w := &testClock{}
	one, two, three := newTestState(w), newTestState(w), newTestState(w)
	for _, s := range []*state{one, two, three} {
		s.applyCatalog(&catalog.Catalog{Version: 1})
	}
	sequence := uint64(0)
	pass := func(from, to *state) {
		sequence++
		_, b := from.heartbeat()
		b.Peer.Instance, b.Peer.Sequence, b.Sent = "other", sequence, w.uptime()
		to.receiveHeartbeat(b)
	}
	limited := func(s *state) bool {
		target, err := s.Choose(&balance.Request{Service: "s"})
		require.NoError(t, err)
		return target.Limited
	}
	one.RecordLimit(limitedTarget, true, 3)
	w.elapsed += 300 * time.Millisecond
	pass(one, two)
	w.elapsed += 300 * time.Millisecond
	pass(two, three)
	assert.True(t, limited(three))
	w.elapsed += 300 * time.Millisecond
	three.RecordLimit(limitedTarget, false, 0)
	pass(one, three)
	assert.False(t, limited(three), "its own answer is newer")
	pass(three, one)
	assert.False(t, limited(one))
	w.elapsed += 2 * endedLimitRetention
	one.cleanUp()
	assert.Empty(t, one.limits)
}

// While an endpoint's limit leaves no room, requests go to others; they come back after the
// wait, and at once when the limit ends.
func TestLimitedEndpointIsDeferred(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.applyCatalog(&catalog.Catalog{Version: 1})
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", DataCentre: "far", Slots: 4, Revision: 2}}}, 2, false)
	chosen := func() fleet.Endpoint {
		target, err := s.Choose(&balance.Request{Service: "s", Place: s.place})
		require.NoError(t, err)
		s.Ended(target, &balance.Request{Service: "s"}, false)
		return target.ID
	}
	before := chosen()
	target := gateway.Target{ID: before}
	s.RecordLimit(target, true, 0.5)
	s.deferEndpoint(target, 2*time.Second)
	assert.NotEqual(t, before, chosen())
	w.elapsed = 3 * time.Second
	assert.Equal(t, before, chosen())
	s.deferEndpoint(target, 2*time.Second)
	w.elapsed += time.Millisecond
	s.RecordLimit(target, false, 0)
	assert.Equal(t, before, chosen())
}

// An endpoint whose answers say that it leaves gets no more requests, here and at the peers that
// hear of it, and is announced once however often it repeats that.
func TestEndpointThatSaysItLeaves(t *testing.T) {
	w := &testClock{}
	one, two := newTestState(w), newTestState(w)
	for range 3 {
		one.Gone(limitedTarget)
	}
	_, b := one.heartbeat()
	assert.Equal(t, []gossip.Incarnation{{Endpoint: "p"}}, b.Leaving)
	b.Peer.Instance = "other"
	two.receiveHeartbeat(b)
	for _, s := range []*state{one, two} {
		s.applyCatalog(&catalog.Catalog{Version: 1})
		_, err := s.Choose(&balance.Request{Service: "s"})
		assert.ErrorIs(t, err, gateway.ErrNoEndpoint)
	}
}

// An endpoint that has asked to be spared gets neither requests nor polls nor orders from the
// instance that it told; callers learn when it takes requests again.
func TestSparedEndpointGetsNothing(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.applyCatalog(&catalog.Catalog{Version: 1, Groups: []catalog.Group{{Name: "s", Engine: &catalog.Engine{}}}})
	request := &balance.Request{Service: "s"}
	require.Len(t, s.endpointsToProbe(), 1)
	s.Spare(limitedTarget, 2*time.Second)
	s.Spare(limitedTarget, time.Second)
	target, err := s.Choose(request)
	require.ErrorIs(t, err, gateway.ErrOverloaded)
	assert.Equal(t, 2*time.Second, target.Wait, "a shorter time doesn't end a longer one")
	assert.Empty(t, s.endpointsToProbe())
	assert.True(t, s.Candidates("s")[0].Spared)
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", DataCentre: "far", Slots: 4, Revision: 2}}}, 2, false)
	target, err = s.Choose(request)
	require.NoError(t, err)
	assert.Equal(t, fleet.Endpoint("q"), target.ID, "others are chosen meanwhile")
	w.elapsed = 2 * time.Second
	assert.Len(t, s.endpointsToProbe(), 2)
	s.Spare(limitedTarget, time.Second)
	s.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 3, Entry: roster.Entry{ID: "p", Service: "s", Born: 5, Slots: 4, Revision: 3}}}, 3, false)
	assert.Len(t, s.endpointsToProbe(), 2, "its next incarnation has not asked for it")
}

// Each reason for which an endpoint gets no request is in a log line, also where another instance
// told of it, and in the error of a request that is refused for it.
func TestReasonForRefusalIsLogged(t *testing.T) {
	left := gossip.Incarnation{Endpoint: "p"}
	tests := []struct {
		name, line, err string
		do              func(s *state)
	}{
		{
			"spared", "step=spare endpoint=p born=0 for=2s", "endpoint p: too much work is queued: it has asked to be spared",
			func(s *state) { s.Spare(limitedTarget, 2*time.Second) },
		},
		{
			"limited", "step=limit endpoint=p born=0 limited=true rate=2 from=answer", "endpoint p: too much work is queued: its limit leaves no room",
			func(s *state) {
				s.RecordLimit(limitedTarget, true, 2)
				s.deferEndpoint(limitedTarget, time.Second)
			},
		},
		{
			"leaves by an answer", "step=endpoint endpoint=p born=0 now=leaving from=answer", "no endpoint can take the request",
			func(s *state) { s.Gone(limitedTarget) },
		},
		{
			"leaves by its report", "step=endpoint endpoint=p born=0 now=leaving from=report", "no endpoint can take the request",
			func(s *state) { s.RecordReport("p", roster.Report{Leaving: true, Taken: s.clock()}) },
		},
		{
			"leaves by what a peer tells", "step=endpoint endpoint=p born=0 now=leaving from=two", "no endpoint can take the request",
			func(s *state) {
				b := heartbeatFrom(1, 0)
				b.Leaving = []gossip.Incarnation{left}
				s.receiveHeartbeat(b)
			},
		},
		{
			"leaves by a report that a peer got", "step=endpoint endpoint=p born=0 now=leaving from=two", "no endpoint can take the request",
			func(s *state) {
				s.receiveHeartbeat(heartbeatFrom(1, 0, gossip.Report{Endpoint: "p", Report: roster.Report{Leaving: true}}))
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lines bytes.Buffer
			s := newTestState(&testClock{})
			s.logger = log.NewLogfmtLogger(&lines)
			s.applyCatalog(&catalog.Catalog{Version: 1})
			for range 2 {
				tt.do(s)
			}
			_, err := s.Choose(&balance.Request{Service: "s"})
			require.EqualError(t, err, tt.err)
			require.Contains(t, lines.String(), tt.line)
			if strings.HasPrefix(tt.line, "step=endpoint") {
				require.Equal(t, 1, strings.Count(lines.String(), tt.line), "once, however often it is repeated")
			}
		})
	}
}

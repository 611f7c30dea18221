package direct

import (
	"context"
	"math/rand/v2"
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

func lateQuestion(id uint64, waited time.Duration) *gossip.Admit {
	return &gossip.Admit{Endpoint: "p", Work: 400 * time.Millisecond, Limit: 100 * time.Millisecond, Late: &gossip.Late{ID: id, Waited: waited, Asked: waited > 0, Patience: time.Minute}}
}

// The instance that admits an endpoint's requests keeps those that wait for room, of all
// instances, until they are admitted, withdrawn or don't ask again.
func TestOwnerKeepsWaitingRequests(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	assert.Equal(t, &gossip.AdmitReply{}, s.admit(lateQuestion(1, 0)), "in time")
	assert.Equal(t, &gossip.AdmitReply{Wait: 400 * time.Millisecond, Refused: true}, s.admit(&gossip.Admit{Endpoint: "p", Limit: time.Millisecond}), "an instance of an earlier build asks")
	second := s.admit(lateQuestion(2, 0))
	assert.True(t, second.Refused)
	assert.Positive(t, second.AskAgain)
	third := s.admit(lateQuestion(3, 0))
	assert.Equal(t, 1, third.Ahead)
	assert.Greater(t, third.Wait, second.Wait)
	w.elapsed = 200 * time.Millisecond
	s.cleanUp()
	assert.Len(t, s.schedules, 1)

	s.admit(&gossip.Admit{Endpoint: "p", Late: &gossip.Late{ID: 2, Withdrawn: true}})
	assert.Zero(t, s.admit(lateQuestion(3, 200*time.Millisecond)).Ahead)
	w.elapsed = 410 * time.Millisecond
	again := lateQuestion(3, 400*time.Millisecond)
	again.Limit = 0
	assert.Equal(t, &gossip.AdmitReply{Late: true}, s.admit(again), "its turn")
	w.elapsed = 3 * time.Second
	s.cleanUp()
	assert.Empty(t, s.schedules, "the owner keeps nothing of requests that have gone")
}

// The owner of an endpoint is replaced while requests wait: the next one knows none of them, and
// places each by how long it has waited.
func TestWaitingRequestsOutliveTheirOwner(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.reserve(&gossip.Admit{Endpoint: "p", Work: 2 * time.Second, Limit: time.Second})
	assert.Zero(t, s.admit(lateQuestion(1, 0)).Ahead)
	assert.Zero(t, s.admit(lateQuestion(2, time.Second)).Ahead, "it came first")
	assert.Equal(t, 1, s.admit(lateQuestion(1, 100*time.Millisecond)).Ahead)
}

// The owner of an endpoint is frozen, dead or cut off: requests are sent where the loads of all
// instances predict them in time, and refused elsewhere. None waits for the owner.
func TestRequestsDoNotWaitForAnOwnerThatIsGone(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.applyCatalog(&catalog.Catalog{Version: 1})
	s.receiveHeartbeat(heartbeatFrom(1, time.Second))
	g := gatewayFleet{state: s}
	s.applyRecords(fromStore, []roster.Record{{ID: "p", Removed: true, Revision: 2}}, 2, false)
	var remote fleet.Endpoint
	for _, id := range []fleet.Endpoint{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 3, Entry: roster.Entry{ID: id, Service: "s", Revision: 3}}}, 3, false)
		if address, _ := s.admitter(id); address == "b:1" {
			remote = id
		}
	}
	require.NotEmpty(t, remote)
	s.admitterFailed(remote)
	request := &balance.Request{Service: "s", Model: "m", Target: time.Second}
	question := gateway.Question{Limit: time.Second, Late: &gateway.Late{ID: 1, Patience: time.Minute}}
	inTime := g.Admit(context.Background(), gateway.Target{ID: remote, Wait: time.Second}, request, question)
	assert.Equal(t, gateway.Admission{}, inTime)
	tooLate := g.Admit(context.Background(), gateway.Target{ID: remote, Wait: 2 * time.Second}, request, question)
	assert.Equal(t, gateway.Admission{Wait: 2 * time.Second, Refused: true}, tooLate)
	g.Withdraw(context.Background(), gateway.Target{ID: remote}, 1)
}

// A request that may wait is not refused for the loads that its instance has received: they are old,
// and the owner of the endpoint has its schedule. It asks again where it has its place, or at an
// endpoint that is predicted to answer in time.
func TestChoiceOfRequestsThatWait(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.applyCatalog(&catalog.Catalog{Version: 1, Groups: []catalog.Group{{Name: "s", Engine: &catalog.Engine{}}}})
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", DataCentre: "a", Slots: 4, Revision: 2}}}, 2, false)
	for _, id := range []fleet.Endpoint{"p", "q"} {
		s.RecordPresence(id, roster.Adapter{Model: "m"}, true)
	}
	load := func(sequence uint64, p, q time.Duration) {
		b := heartbeatFrom(sequence, time.Second)
		b.Loads = map[fleet.Endpoint]balance.Load{"p": {Pending: [3]time.Duration{p}}, "q": {Pending: [3]time.Duration{q}}}
		s.receiveHeartbeat(b)
	}
	load(1, 2*time.Second, 3*time.Second)
	request := &balance.Request{Service: "s", Model: "m", Target: time.Second, Place: s.place}
	_, err := s.Choose(request)
	require.ErrorIs(t, err, gateway.ErrOverloaded)
	request.Patience = 4 * time.Second
	target, err := s.Choose(request)
	require.NoError(t, err)
	assert.Equal(t, fleet.Endpoint("p"), target.ID)
	request.Reserved = "q"
	target, err = s.Choose(request)
	require.NoError(t, err)
	assert.Equal(t, fleet.Endpoint("q"), target.ID, "where it has its place")
	load(2, 0, 3*time.Second)
	target, err = s.Choose(request)
	require.NoError(t, err)
	assert.Equal(t, fleet.Endpoint("p"), target.ID, "it has got room")
	load(3, 2*time.Second, 3*time.Second)
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Removed: true, Revision: 3}}, 3, false)
	target, err = s.Choose(request)
	require.NoError(t, err)
	assert.Equal(t, fleet.Endpoint("p"), target.ID, "its place is gone")
}

// Requests of a service wait once all live instances can keep them.
func TestQueues(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	g := gatewayFleet{state: s}
	s.loadFeatures.settings.Queue, s.loadFeatures.othersKnown = 1, true
	s.updateLoadFeatures()
	assert.True(t, g.Queues("s"))
	assert.False(t, g.Queues("other"))
	s.receiveHeartbeat(heartbeatFrom(1, time.Second))
	s.updateLoadFeatures()
	assert.False(t, g.Queues("s"), "an instance of an earlier build is live")
	b := heartbeatFrom(2, time.Second)
	b.Features = []feature.Feature{feature.Queue}
	s.receiveHeartbeat(b)
	s.updateLoadFeatures()
	assert.True(t, g.Queues("s"))
}

// The load of a workspace that sends six times its usual through many instances while an endpoint's
// room is short: the owner of the endpoint has its requests wait, and serves the others.
func TestOwnerSharesScarceRoom(t *testing.T) {
	w := &testClock{}
	const service = catalog.Service("s")
	owner := newTestState(w)
	instances := make([]*state, 20)
	for i := range instances {
		instances[i] = newTestState(w)
		instances[i].loadFeatures.queue = map[catalog.Service]bool{service: true}
	}
	asked, found, yielded := map[string]int{}, map[string]int{}, map[string]int{}
	random, n := rand.New(rand.NewPCG(1, 1)), uint64(0)
	send := func(workspace string) {
		n++
		a := &balance.Request{Service: service, Model: "m"}
		instances[random.IntN(len(instances))].CountRequest(a, workspace)
		r := owner.admit(&gossip.Admit{Endpoint: "p", Work: 30 * time.Millisecond, Limit: 300 * time.Millisecond, Usage: a.Usage, Late: &gossip.Late{ID: n, Patience: time.Second}})
		if w.elapsed < 22*time.Second {
			return
		}
		asked[workspace]++
		if !r.Refused && !r.Late {
			found[workspace]++
		}
		if r.Yields {
			yielded[workspace]++
		}
	}
	for i := 0; w.elapsed < 28*time.Second; i++ {
		w.elapsed += 33 * time.Millisecond // 30 requests a second, three of each workspace
		send(string(rune('a' + i%10)))
		if w.elapsed > 20*time.Second && i%2 == 0 {
			send("a") // six times as many as before
		}
	}
	othersAsked, othersFound := 0, 0
	for workspace, n := range asked {
		if workspace != "a" {
			othersAsked, othersFound = othersAsked+n, othersFound+found[workspace]
		}
	}
	assert.GreaterOrEqual(t, othersFound*100, othersAsked*95, "%d of %d of the others", othersFound, othersAsked)
	assert.Greater(t, yielded["a"], asked["a"]/3)
	assert.Less(t, found["a"], asked["a"]/2)
}

// A prompt that takes longer to read than its target allows is late from the beginning: it is sent
// once nothing of its rank is ahead of it.
func TestLargePromptIsNotRefusedForItsOwnWork(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.loadFeatures.queue = map[catalog.Service]bool{"s": true}
	large := &gossip.Admit{Endpoint: "p", Work: 900 * time.Millisecond, Late: &gossip.Late{ID: 1, Patience: 3 * time.Second}}
	assert.Equal(t, &gossip.AdmitReply{Late: true}, s.admit(large))
	small := &gossip.Admit{Endpoint: "p", Work: 50 * time.Millisecond, Limit: 400 * time.Millisecond}
	assert.Equal(t, &gossip.AdmitReply{}, s.admit(small), "it keeps none of its rank waiting")
	bulk := &gossip.Admit{Endpoint: "p", Level: 2, Work: 50 * time.Millisecond, Limit: 400 * time.Millisecond}
	assert.True(t, s.admit(bulk).Refused, "a less urgent one would be behind it for longer")
}

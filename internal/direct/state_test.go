package direct

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
)

// testClock is the clock of an instance under test.
type testClock struct{ elapsed time.Duration }

func (t *testClock) now() time.Time        { return time.Unix(1_000_000, 0).Add(t.elapsed) }
func (t *testClock) uptime() time.Duration { return time.Hour + t.elapsed }

func newTestState(w *testClock) *state { return newTestStateOf(w, "one") }

func newTestStateOf(w *testClock, name fleet.Instance) *state {
	place := fleet.Place{Region: "south", DataCentre: "a"}
	self := member.Peer{Instance: name, Incarnation: "1", Place: fleet.Place{DataCentre: allDataCentres}, Address: "a:1", Caller: "a:2"}
	s := newState(self, place, map[fleet.DataCentre]fleet.Region{"a": "south"}, balance.NewBudget(0.2, 10, 10*time.Second), 300*time.Millisecond, w.now, log.NewNopLogger())
	s.uptime = w.uptime
	s.allotments = newAllotments(w.uptime(), self)
	s.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 1, Entry: roster.Entry{ID: "p", Service: "s", Slots: 4, Revision: 1}}}, 1, true)
	return s
}

func heartbeatFrom(sequence uint64, sent time.Duration, reports ...gossip.Report) *gossip.Heartbeat {
	return &gossip.Heartbeat{
		Peer: member.Peer{Instance: "two", Incarnation: "7", Sequence: sequence, Place: fleet.Place{DataCentre: allDataCentres}, Address: "b:1", Caller: "b:2"},
		Sent: sent, Reports: reports, Ready: true,
	}
}

// Reports in a heartbeat that was delayed on a cut connection count as old, so they don't
// replace newer ones.
func TestDelayedHeartbeatsAgeReports(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	report := func(seq int64) gossip.Report {
		return gossip.Report{Endpoint: "p", Age: 100 * time.Millisecond, Report: roster.Report{Seq: seq}}
	}
	s.receiveHeartbeat(heartbeatFrom(1, 10*time.Second, report(1)))
	assert.Equal(t, w.now().Add(-100*time.Millisecond), s.roster.Get("p").Report.Taken)
	w.elapsed = 8 * time.Second
	s.RecordReport("p", roster.Report{Seq: 5, Taken: w.now().Add(-time.Second)})
	s.receiveHeartbeat(heartbeatFrom(2, 11*time.Second, report(2))) // sent one second after the first, received seven seconds late
	assert.Equal(t, int64(5), s.roster.Get("p").Report.Seq)
	s.receiveHeartbeat(heartbeatFrom(3, 18*time.Second, report(6)))
	assert.Equal(t, int64(6), s.roster.Get("p").Report.Seq, "no longer delayed")
}

// Before an endpoint's first report its loaded models are taken from its store entry; otherwise
// they would count as missing.
func TestEntryIsUsedUntilFirstReport(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	entry := roster.Entry{ID: "q", Service: "s", Born: 5, Seq: 3, Models: []roster.Holding{{Model: "m"}}, AtHand: []fleet.Model{"m", "n"}, Revision: 2}
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Revision: 2, Entry: entry}}, 2, false)
	var found *loader.Candidate
	for _, c := range s.Candidates("s") {
		if c.ID == "q" {
			found = &c
		}
	}
	require.NotNil(t, found)
	assert.True(t, roster.Holds(found.Report.Models, "m", ""))
	assert.True(t, found.Report.Taken.IsZero(), "too old to base an order on")
	assert.Equal(t, int64(3), found.Report.Seq)
	assert.Equal(t, []fleet.Model{"m", "n"}, found.CachedModels)
	s.RecordReport("q", roster.Report{Seq: 4, Born: 5, Taken: w.now()})
	for _, c := range s.Candidates("s") {
		assert.False(t, roster.Holds(c.Report.Models, "m", ""), "the report replaces the entry")
	}
}

// Every instance refuses a request after three endpoints crashed while running it, whichever
// instances observed the crashes. Interrupted runs on endpoints that stay listed don't count,
// and a complete answer clears a request.
func TestPoisonRequestsAreRefused(t *testing.T) {
	w := &testClock{}
	one, two := newTestState(w), newTestState(w)
	poison, concurrent, unlucky := identityOf(1), identityOf(2), identityOf(3)
	revision := int64(1)
	kill := func(s *state, id fleet.Endpoint, requests ...suspect.Identity) {
		for _, r := range []roster.Record{
			{ID: id, Entry: roster.Entry{ID: id, Service: "s", Born: 5}},
			{ID: id, Removed: true},
		} {
			revision++
			r.Revision, r.Entry.Revision = revision, revision
			s.applyRecords(fromStore, []roster.Record{r}, revision, false)
			for _, f := range requests {
				if !r.Removed {
					began := w.now()
					w.elapsed += 10 * time.Millisecond
					s.AnswerInterrupted(gateway.Target{ID: id, Born: 5}, f, began, false)
				}
			}
			s.cleanUp()
		}
	}
	exchange := func(from, to *state) {
		_, b := from.heartbeat()
		b.Peer.Instance = "other"
		to.receiveHeartbeat(b)
	}
	kill(one, "a", poison, concurrent)
	kill(one, "b", poison)
	for range 5 {
		one.AnswerInterrupted(gateway.Target{ID: "p"}, unlucky, w.now(), false) // p stays listed
	}
	assert.False(t, one.refuses(poison))
	kill(two, "c", poison, concurrent)
	exchange(two, one)
	exchange(one, two)
	w.elapsed += settleBeats * siteBeat
	for _, s := range []*state{one, two} {
		assert.True(t, s.refuses(poison))
		assert.False(t, s.refuses(concurrent))
		assert.False(t, s.refuses(unlucky))
	}
	one.AnswerCompleted(concurrent)
	kill(one, "d", unlucky)
	kill(one, "e", unlucky)
	one.AnswerCompleted(unlucky)
	assert.False(t, one.refuses(unlucky))
}

// A run that was interrupted long before its endpoint was removed doesn't count as a crash.
func TestOldInterruptedRunsAreNotCrashes(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.AnswerInterrupted(gateway.Target{ID: "p"}, identityOf(4), w.now(), false)
	w.elapsed = brokenRequestRetention + time.Second
	s.cleanUp()
	s.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 2, Removed: true}}, 2, false)
	s.cleanUp()
	assert.Empty(t, s.crashes.Since(time.Time{}))
}

// Crashes in a heartbeat that was delayed on a cut connection are older by that delay.
func TestDelayedHeartbeatsAgeCrashes(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.receiveHeartbeat(heartbeatFrom(1, 10*time.Second))
	w.elapsed = 8 * time.Second // the next one was sent one second after the first and is received seven seconds late
	b := heartbeatFrom(2, 11*time.Second)
	run := func(age time.Duration) suspect.CrashedRun {
		return suspect.CrashedRun{Keys: []suspect.Key{suspect.RequestKey(4)}, Age: age}
	}
	b.Ended = []gossip.EndpointCrash{{Incarnation: "a/1", Runs: []gossip.CrashedRun{{Keys: run(0).Keys, Age: time.Second}}}}
	s.receiveHeartbeat(b)
	s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: "b/1", FailedAt: w.now().Add(-500 * time.Millisecond), Runs: []suspect.CrashedRun{run(5500 * time.Millisecond)}})
	assert.False(t, s.refuses(identityOf(4)))
	s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: "c/1", FailedAt: w.now().Add(-100 * time.Millisecond), Runs: []suspect.CrashedRun{run(200 * time.Millisecond)}})
	w.elapsed += settleBeats * siteBeat
	assert.True(t, s.refuses(identityOf(4)), "each run began after the endpoint before had crashed")
}

// Identical requests of many callers may run at several endpoints that crash at the same time,
// which doesn't make them a poison request. A complete answer in between resets the count too.
func TestSimultaneousCrashesAreNotAPoisonRequest(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	lookup := identityOf(9)
	revision := int64(1)
	set := func(removed bool, ids ...fleet.Endpoint) {
		for _, id := range ids {
			revision++
			s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: revision, Removed: removed, Entry: roster.Entry{ID: id, Service: "s", Born: 5, Revision: revision}}}, revision, false)
		}
	}
	set(false, "a", "b", "c", "d")
	began := w.now()
	w.elapsed += 60 * time.Millisecond
	for _, id := range []fleet.Endpoint{"a", "b", "c"} {
		s.AnswerInterrupted(gateway.Target{ID: id, Born: 5}, lookup, began, false)
	}
	set(true, "a", "b", "c")
	s.cleanUp()
	assert.False(t, s.refuses(lookup), "the endpoints crashed at the same time")
	s.AnswerCompleted(lookup)
	w.elapsed += time.Second
	s.AnswerInterrupted(gateway.Target{ID: "d", Born: 5}, lookup, w.now(), false)
	set(true, "d")
	s.cleanUp()
	assert.False(t, s.refuses(lookup), "answered in between")
}

// Endpoints missing from a list that was only just read may still appear in it.
func TestEndpointListSettles(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	assert.False(t, s.Settled())
	w.elapsed = listSettleTime - time.Millisecond
	s.applyRecords(fromStore, []roster.Record{{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", Slots: 4, Revision: 2}}}, 2, false)
	assert.False(t, s.Settled())
	w.elapsed = listSettleTime
	assert.True(t, s.Settled(), "counted from the first list, whatever changes later")
}

// A request for a fast model counts as less work than the same request for a slow one.
func TestDemandIsScaledByPrefillFactor(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	newRequest := func(m fleet.Model) *balance.Request {
		return &balance.Request{Service: "s", Model: m, PromptTokens: 1000, OutputTokens: 10}
	}
	s.balancer.Measured("fast", 200*time.Millisecond, 50*time.Millisecond)
	for range 50 {
		s.CountRequest(newRequest("fast"), "")
		s.CountRequest(newRequest("slow"), "")
	}
	recent, longTerm, _ := s.Demand()
	assert.InEpsilon(t, recent["slow"]/4, recent["fast"], 0.05)
	assert.InEpsilon(t, longTerm["slow"]/4, longTerm["fast"], 0.05)
}

// The load of callers who press on a model with too few copies: its answers come late, which must not
// count as more demand where copies follow demand.
func TestLateAnswersAreNoDemand(t *testing.T) {
	for _, follow := range []float64{0, 12} {
		s := newTestState(&testClock{})
		c := &catalog.Catalog{Version: 2, Groups: []catalog.Group{{Name: "s", Engine: &catalog.Engine{MaxLoadsPerSecond: 13}}}}
		c.Index()
		s.applyCatalog(c)
		s.loadFeatures.settings.Follow = follow
		for range 50 {
			s.balancer.Measured("late", 200*time.Millisecond, 800*time.Millisecond)
			s.CountRequest(&balance.Request{Service: "s", Model: "late", PromptTokens: 1000}, "")
			s.CountRequest(&balance.Request{Service: "s", Model: "other", PromptTokens: 1000}, "")
		}
		recent, _, _ := s.Demand()
		if follow > 0 {
			assert.InEpsilon(t, recent["other"], recent["late"], 0.01)
		} else {
			assert.Greater(t, recent["late"], 1.5*recent["other"])
		}
	}
}

// A path that may be in a newer configuration than the one in force is not refused for good.
func TestUnknownRouteOfAnOutdatedInstance(t *testing.T) {
	s := newTestState(&testClock{})
	path := func(version int64) *catalog.Catalog {
		c := &catalog.Catalog{Version: version, Routes: []catalog.Route{{Host: "board.example", Prefix: fmt.Sprintf("/v%d/", version)}}}
		c.Index()
		return c
	}
	s.applyCatalog(path(2))
	b := heartbeatFrom(1, 0)
	b.Catalog = 3
	s.receiveHeartbeat(b)
	_, _, err := s.Route("board.example", "/v3/")
	require.ErrorIs(t, err, gateway.ErrOutdated)
	_, version, err := s.Route("board.example", "/v2/")
	require.NoError(t, err)
	assert.Equal(t, int64(2), version)
	s.applyCatalog(path(3))
	_, _, err = s.Route("board.example", "/v2/")
	assert.ErrorIs(t, err, gateway.ErrNoRoute, "removed by the newest version")
}

// A route that an instance can't know to be absent isn't answered as absent.
func TestUnknownRouteOfAnUnconfirmedConfiguration(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name      string
		confirmed time.Duration // ago
		peer      bool
		features  []feature.Feature
		want      error
	}{
		{name: "just confirmed", want: gateway.ErrNoRoute},
		{name: "confirmed within the time that it takes", confirmed: 2500 * time.Millisecond, want: gateway.ErrNoRoute},
		{name: "confirmed long ago", confirmed: 4 * time.Second, want: gateway.ErrMayBeOutdated},
		{name: "never confirmed", confirmed: never, want: gateway.ErrMayBeOutdated},
		{name: "the same beside a peer", confirmed: never, peer: true, features: feature.Announced(), want: gateway.ErrMayBeOutdated},
		{name: "a peer of an earlier build confirms nothing", confirmed: never, peer: true, want: gateway.ErrNoRoute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &testClock{}
			s := newTestState(w)
			c := &catalog.Catalog{Version: 2, Routes: []catalog.Route{{Host: "board.example", Prefix: "/v2/"}}}
			c.Index()
			s.applyCatalog(c)
			if tt.peer {
				b := heartbeatFrom(1, 0)
				b.Features = tt.features
				s.receiveHeartbeat(b)
			}
			if tt.confirmed != never {
				s.confirmCatalog(2, w.uptime()-tt.confirmed)
			}
			_, _, err := s.Route("board.example", "/v3/")
			require.ErrorIs(t, err, tt.want)
			_, _, err = s.Route("board.example", "/v2/")
			assert.NoError(t, err)
		})
	}
}

// An instance fetches from a peer with a newer configuration, and doesn't list a peer to
// callers after its heartbeats have stopped.
func TestPeersAheadAndUnreachable(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	b := heartbeatFrom(1, 0)
	b.Catalog, b.Place = 9, fleet.Place{Region: "south", DataCentre: "a"}
	s.receiveHeartbeat(b)
	address, have, ok := s.catalogPeer("")
	require.True(t, ok)
	assert.Equal(t, "b:1", address)
	assert.Zero(t, have)
	assert.Equal(t, []string{"b:2"}, s.addresses(fleet.Place{Region: "south"}, "a:2", false))
	for range 20 {
		w.elapsed += 300 * time.Millisecond
		s.heartbeat()
	}
	assert.Empty(t, s.addresses(fleet.Place{Region: "south"}, "a:2", false))
	assert.Equal(t, []string{"a:2"}, s.addresses(fleet.Place{Region: "south"}, "a:2", true))
	s.leave(shutdown.Plan{})
	assert.Empty(t, s.addresses(fleet.Place{Region: "south"}, "a:2", true))
}

// An instance that holds the order lease and restarts gives orders again as soon as it has the
// list, if the fleet has been running. When all start together it waits for the endpoints.
func TestSettledAfterRestart(t *testing.T) {
	tests := []struct {
		name     string
		sequence uint64
		after    time.Duration
		want     bool
	}{
		{name: "alone", after: time.Second},
		{name: "all started together", sequence: 5, after: time.Second},
		{name: "the others run", sequence: 40, after: 100 * time.Millisecond, want: true},
		{name: "alone, later", after: listSettleTime, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &testClock{}
			s := newTestState(w)
			if tt.sequence > 0 {
				s.receiveHeartbeat(heartbeatFrom(tt.sequence, time.Second))
			}
			w.elapsed = tt.after
			assert.Equal(t, tt.want, s.Settled())
		})
	}
}

// A request waits while its endpoint leaves, ends, asks to be spared or unloads its model.
func TestWaitingRequestsTargetIsLost(t *testing.T) {
	target := gateway.Target{ID: "p"}
	apply := func(s *state, r roster.Record) {
		r.ID, r.Revision, r.Entry.Revision = "p", 2, 2
		s.applyRecords(fromStore, []roster.Record{r}, 2, false)
	}
	tests := []struct {
		name   string
		model  fleet.Model
		change func(s *state)
		lost   bool
	}{
		{name: "nothing", model: "m", change: func(*state) {}},
		{name: "its entry says that it leaves", change: func(s *state) { apply(s, roster.Record{Entry: roster.Entry{ID: "p", Service: "s", Leaving: true}}) }, lost: true},
		{name: "its answer says so", change: func(s *state) { s.Gone(target) }, lost: true},
		{name: "its entry is removed", change: func(s *state) { apply(s, roster.Record{Removed: true}) }, lost: true},
		{name: "it has started again", change: func(s *state) { apply(s, roster.Record{Entry: roster.Entry{ID: "p", Service: "s", Born: 9}}) }, lost: true},
		{name: "Retry-After", change: func(s *state) { s.Spare(target, time.Second) }, lost: true},
		{name: "failed once", change: func(s *state) { s.Failed(target) }},
		{name: "its limit leaves no room for others", change: func(s *state) { s.deferEndpoint(target, time.Second) }},
		{name: "model unloaded", model: "m", change: func(s *state) { s.Missing(target, "m", "") }, lost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestState(&testClock{})
			s.RecordPresence("p", roster.Adapter{Model: "m"}, true)
			tt.change(s)
			err := s.CheckTarget(target, tt.model)
			assert.Equal(t, tt.lost, errors.Is(err, gateway.ErrTargetLost), "%v", err)
		})
	}
}

// The removal of an endpoint is logged also where a complete list without it replaces the change that removed it.
func TestEndpointsMissingFromAListAreLogged(t *testing.T) {
	s := newTestState(&testClock{})
	var output bytes.Buffer
	s.logger = log.NewLogfmtLogger(&output)
	next := roster.Record{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", Revision: 2}}
	s.applyRecords(fromStore, []roster.Record{next}, 3, true)
	assert.Contains(t, output.String(), "endpoint=p born=0 software= revision=3 now=removed")
	output.Reset()
	s.applyRecords(fromStore, []roster.Record{next}, 4, true)
	assert.Empty(t, output.String())
}

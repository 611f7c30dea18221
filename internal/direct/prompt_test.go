package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const slowFirstEvent = 800 * time.Millisecond

// Requests that share a part of their prompts and nothing else crash endpoints. Some seconds
// after the fifth crash no instance sends one any more, while sound requests with the same first
// part go on.
func TestCrashingPromptPartIsNotSentOn(t *testing.T) {
	const small, grown = 4 * time.Second, 5 * time.Second
	for _, c := range []struct {
		name     string
		window   time.Duration
		seeds    uint64
		settings promptSiteSettings
	}{
		{"9 instances", small, 3, promptSiteSettings{instances: 9, crashingRate: 2}},
		{"9 instances, many at once", small, 3, promptSiteSettings{instances: 9, crashingRate: 6}},
		{"9 instances, few", small, 3, promptSiteSettings{instances: 9, crashingRate: 0.3}},
		{"9 instances, long queues", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, firstEvent: slowFirstEvent}},
		{"9 instances, heartbeats lost and late", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, loss: 0.3, slow: 0.2}},
		{"9 instances, connections reset", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, resets: 0.4}},
		{"9 instances, the first part", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, crashesFirst: true}},
		{"9 instances, a rare sound part beside it", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, companion: 0.7}},
		{"9 instances, three endpoints", small, 3, promptSiteSettings{instances: 9, crashingRate: 2, endpoints: 3}},
		{"9 instances, two parts after it", small, 6, promptSiteSettings{instances: 9, crashingRate: 1, turns: 2}},
		{"9 instances, six parts after it", small, 6, promptSiteSettings{instances: 9, crashingRate: 1, turns: 6}},
		{"9 instances, two parts after it, few", small, 6, promptSiteSettings{instances: 9, crashingRate: 0.4, turns: 2}},
		{"60 instances", grown, 1, promptSiteSettings{instances: 60, crashingRate: 2}},
		{"295 instances", grown, 1, promptSiteSettings{instances: 295, crashingRate: 2, crashingUntil: 10 * time.Second}},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				c.settings.seed, c.settings.crashingFrom, c.settings.soundRate, c.settings.hot = seed, 5*time.Second, 25, 0.7
				p := newPromptSite(t, c.settings)
				end := 5*time.Second + 6*c.window
				if c.settings.crashingUntil > 0 {
					end = c.settings.crashingUntil + time.Second
				}
				p.run(end)
				require.GreaterOrEqual(t, len(p.crashes), 3, "not found sooner")
				assert.LessOrEqual(t, p.sentAfter(5, c.window), 3, "sent after the bound, of %d; %d endpoints crashed", len(p.crashingRun), len(p.crashes))
				assert.Empty(t, p.refused, "sound parts")
				if c.settings.crashesFirst || c.settings.crashingUntil > 0 {
					return
				}
				before, after := p.share(true, 0, 5*time.Second), p.share(true, 5*time.Second+3*c.window, end)
				assert.Greater(t, after, before/2, "share of the sound requests with the same first part that began")
			})
		}
	}
}

// Endpoints that end or break connections for another reason than a request don't convict the
// parts of the prompts that were in flight.
func TestSoundPromptPartsAreNotConvicted(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		settings promptSiteSettings
	}{
		{"connections reset", promptSiteSettings{resets: 0.4}},
		{"all connections reset", promptSiteSettings{resets: 1}},
		{"endpoints end", promptSiteSettings{ends: 1}},
		{"a rack ends", promptSiteSettings{ends: 0.3, rack: 6, firstEvent: slowFirstEvent}},
		{"all endpoints end by turns, few parts", promptSiteSettings{ends: 0.5, endpoints: 3, subjects: 3}},
		{"the only endpoint ends again and again", promptSiteSettings{ends: 0.5, endpoints: 1, subjects: 3}},
		{"endpoints end, heartbeats lost and late", promptSiteSettings{ends: 1, loss: 0.3, slow: 0.2}},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				settings := c.settings
				settings.seed, settings.instances, settings.soundRate, settings.hot = seed, 9, 25, 0.7
				p := newPromptSite(t, settings)
				p.run(30 * time.Second)
				assert.Empty(t, p.refused)
			})
		}
	}
}

// convictPart makes states know of crashes in sequence under a part.
func convictPart(w *testClock, part string, states ...*state) {
	for i := range 6 {
		for _, s := range states {
			s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", i), FailedAt: w.now(), Runs: []suspect.CrashedRun{{Keys: []suspect.Key{suspect.PartKey(part)}, Age: 10 * time.Millisecond}}})
		}
		w.elapsed += 300 * time.Millisecond
	}
	w.elapsed += settleBeats * siteBeat
}

func promptWith(part string) *balance.Request {
	return &balance.Request{Parts: []balance.PromptPart{{ID: part}, {ID: "own"}}}
}

// idleSite returns instances that know each other, without endpoints or requests.
func idleSite(t *testing.T, w *testClock, instances int) *promptSite {
	t.Helper()
	p := &promptSite{promptSiteSettings: promptSiteSettings{instances: instances}, t: t, clock: w, peers: make(map[fleet.Instance]*state)}
	var members []member.Peer
	for i := range instances {
		name := fmt.Sprintf("front-%d", i)
		members = append(members, member.Peer{Instance: fleet.Instance(name), Incarnation: "1", Place: fleet.Place{DataCentre: allDataCentres}, Address: name, Sequence: 1})
	}
	for i := range members {
		p.addInstance(members[i], members)
	}
	return p
}

// When a verdict is reviewed one instance sends one request with the part. If that ends another
// endpoint the part is refused for longer; if its answer begins, all instances take it again.
func TestVerdictsAreReviewed(t *testing.T) {
	w := &testClock{}
	p := idleSite(t, w, 9)
	request := promptWith("x")
	sent := func(seconds int) (by []*state) {
		for range seconds * 10 {
			w.elapsed += 100 * time.Millisecond
			for _, s := range p.states {
				if _, err := s.CheckRun(request, suspect.Identity{}); err != nil {
					continue
				}
				_, err := s.ClaimRun(request, suspect.Identity{})
				require.NoError(t, err)
				by = append(by, s)
			}
		}
		return by
	}
	convictPart(w, "x", p.states...)
	wait, err := p.states[0].CheckRun(request, suspect.Identity{})
	require.ErrorIs(t, err, gateway.ErrCrashingPart)
	assert.InDelta(t, firstReviewAfter, wait, float64(2*time.Second))
	_, err = p.states[0].CheckRun(&balance.Request{Parts: []balance.PromptPart{{ID: "f"}, {ID: "x"}}}, suspect.Identity{})
	require.NoError(t, err, "the last part is the request's own")

	assert.Empty(t, sent(56))
	by := sent(4)
	require.Len(t, by, 1, "one request in a turn")
	for _, s := range p.states {
		s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: "review", FailedAt: w.now(), Runs: []suspect.CrashedRun{{Keys: []suspect.Key{"x"}}}})
	}
	assert.Empty(t, sent(110), "twice as long")
	by = sent(12)
	require.NotEmpty(t, by)
	by[0].PromptBegun(request)
	_, b := by[0].heartbeat()
	other := p.states[(slices.Index(p.states, by[0])+1)%len(p.states)]
	other.receiveHeartbeat(b)
	_, err = other.CheckRun(request, suspect.Identity{})
	assert.NoError(t, err, "cleared by the answer at another instance")
}

// An instance that starts after the crashes learns of the verdict from others.
func TestInstanceThatStartsLearnsVerdicts(t *testing.T) {
	w := &testClock{}
	one, two := newTestState(w), newTestState(w)
	convictPart(w, "x", one)
	w.elapsed += 2 * crashNewsTime
	_, b := one.heartbeat()
	assert.Empty(t, b.Ended, "no longer news")
	b.Peer.Instance = "other"
	two.receiveHeartbeat(b)
	_, err := two.CheckRun(promptWith("x"), suspect.Identity{})
	require.ErrorIs(t, err, gateway.ErrCrashingPart)
	for range 50 { // the two repeat it to each other
		w.elapsed += siteBeat
		for _, pair := range [][2]*state{{one, two}, {two, one}} {
			_, b := pair[0].heartbeat()
			b.Peer.Instance = "other"
			w.elapsed += siteLinkDelay
			pair[1].receiveHeartbeat(b)
		}
	}
	v, _ := one.crashes.Verdict(w.now(), "x")
	kept, _ := two.crashes.Verdict(w.now(), "x")
	assert.Less(t, kept.FailedAt.Sub(v.FailedAt).Abs(), time.Second, "it gets older though it is repeated")
}

// An endpoint counts as crashed only if it is found gone soon after the connection broke, and if
// it was not about to leave.
func TestBrokenRunsNeedAnEndpointThatIsGone(t *testing.T) {
	target := gateway.Target{ID: "p"}
	key := incarnation{id: "p"}
	tests := []struct {
		name   string
		before func(s *state)
		then   func(w *testClock, s *state)
		want   int
	}{
		{name: "gone", then: func(w *testClock, s *state) { s.recordAsked(key, w.now(), true, nil) }, want: 1},
		{name: "answers", then: func(w *testClock, s *state) {
			s.recordAsked(key, w.now(), false, nil)
			s.recordAsked(key, w.now(), true, nil)
		}},
		{name: "answered before the connection broke", then: func(w *testClock, s *state) {
			s.recordAsked(key, w.now().Add(-time.Second), false, nil)
			s.recordAsked(key, w.now(), true, nil)
		}, want: 1},
		{name: "not known at first", then: func(w *testClock, s *state) {
			s.recordAsked(key, w.now(), false, assert.AnError)
			s.recordAsked(key, w.now(), true, nil)
		}, want: 1},
		{name: "not known for long", then: func(w *testClock, s *state) {
			w.elapsed += 2 * brokenPromptRetention
			s.recordAsked(key, w.now(), false, assert.AnError)
			s.recordAsked(key, w.now(), true, nil)
		}},
		{name: "leaving", before: func(s *state) { s.Gone(target) }, then: func(w *testClock, s *state) { s.recordAsked(key, w.now(), true, nil) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &testClock{}
			s := newTestState(w)
			if tt.before != nil {
				tt.before(s)
			}
			s.PromptInterrupted(target, promptWith("x"), w.now())
			w.elapsed += 10 * time.Millisecond
			tt.then(w, s)
			assert.Len(t, s.crashes.Since(time.Time{}), tt.want)
			assert.False(t, s.hasEndpointsToAsk())
		})
	}
}

// What heartbeats carry is bounded, however many endpoints crash.
func TestPromptNewsAreBounded(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	for i := range 500 {
		d := suspect.EndpointCrash{Incarnation: fmt.Sprint(i), FailedAt: w.now()}
		for k := range 50 {
			age := time.Duration(k+1) * time.Millisecond
			request := suspect.RequestKey(suspect.Fingerprint(uint64(500*i+k+1) * 0x9e3779b97f4a7c15))
			d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{"f", suspect.PartKey(fmt.Sprint("subject", k))}, Age: age}, suspect.CrashedRun{Keys: []suspect.Key{request}, Age: age})
		}
		s.crashes.Add(w.now(), d)
		w.elapsed += 2 * time.Millisecond
	}
	_, b := s.heartbeat()
	packed, err := gossip.Pack(b)
	require.NoError(t, err)
	assert.Len(t, b.Ended, maxAnnouncedCrashes)
	assert.Less(t, len(packed.Data), 8<<10)
}

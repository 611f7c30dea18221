package direct

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
)

// refuses reports whether a request without a prompt may not be sent.
func (s *state) refuses(id suspect.Identity) bool {
	_, err := s.CheckRun(&balance.Request{}, id)
	return err != nil
}

// A request that comes again and again crashes each endpoint that runs it. Some seconds after the
// third crash no instance sends it any more, whether its copies come one by one or at once.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	const small, grown = 4 * time.Second, 5 * time.Second
	const quick, restart = 60 * time.Millisecond, 3400 * time.Millisecond
	for _, c := range []struct {
		name     string
		window   time.Duration
		seeds    uint64
		settings promptSiteSettings
	}{
		{"three endpoints", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 3}},
		{"three endpoints, many", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 12}},
		{"three endpoints, few", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 0.4}},
		{"three endpoints, several at once", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 0.3, copies: 8}},
		{"18 endpoints", small, 4, promptSiteSettings{instances: 9, crashingRate: 3}},
		{"18 endpoints, several at once", small, 4, promptSiteSettings{instances: 9, crashingRate: 0.3, copies: 8}},
		{"three endpoints, heartbeats lost and late", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 3, loss: 0.3, slow: 0.2}},
		{"three endpoints, connections reset", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 3, resets: 0.4}},
		{"18 endpoints, store away", small, 4, promptSiteSettings{instances: 9, crashingRate: 3, storeAway: true}},
		{"three endpoints, other queries", small, 4, promptSiteSettings{instances: 9, endpoints: 3, crashingRate: 3, variants: true}},
		{"18 endpoints, other queries", small, 4, promptSiteSettings{instances: 9, crashingRate: 3, variants: true}},
		{"18 endpoints, other queries, several at once", small, 4, promptSiteSettings{instances: 9, crashingRate: 0.3, copies: 8, variants: true}},
		{"60 instances", grown, 1, promptSiteSettings{instances: 60, crashingRate: 6}},
		{"295 instances", grown, 1, promptSiteSettings{instances: 295, crashingRate: 6, crashingUntil: 12 * time.Second}},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				c.settings.identical, c.settings.seed, c.settings.crashingFrom = true, seed, 5*time.Second
				c.settings.soundRate, c.settings.hot, c.settings.polled = 25, 0.7, 0.3
				c.settings.firstEvent, c.settings.restart = quick, restart
				p := newPromptSite(t, c.settings)
				p.run(5*time.Second + 5*c.window)
				require.GreaterOrEqual(t, len(p.crashes), 3, "not found sooner")
				assert.LessOrEqual(t, p.sentAfter(3, c.window), 3, "sent after the bound, of %d; %d endpoints crashed", len(p.crashingRun), len(p.crashes))
				assert.Empty(t, p.refused, "sound requests")
			})
		}
	}
}

// A request that crashes endpoints comes again from other callers, among requests that share few
// endpoints with it. It isn't sent on for long, and those beside it are not refused.
func TestCrashingRequestOfSeveralCallersIsNotSentOn(t *testing.T) {
	const window, quick, restart = 4 * time.Second, 60 * time.Millisecond, 3400 * time.Millisecond
	for _, c := range []struct {
		name     string
		settings promptSiteSettings
	}{
		{"two callers", promptSiteSettings{crashingRate: 1, callers: 2}},
		{"three callers, many", promptSiteSettings{crashingRate: 4, callers: 3}},
		{"six callers, few", promptSiteSettings{crashingRate: 0.4, callers: 6}},
		{"six callers, several at once", promptSiteSettings{crashingRate: 0.4, callers: 6, copies: 3}},
		{"three callers, store away", promptSiteSettings{crashingRate: 1, callers: 3, storeAway: true}},
		{"three callers, heartbeats lost and late", promptSiteSettings{crashingRate: 1, callers: 3, loss: 0.3, slow: 0.2}},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				c.settings.identical, c.settings.seed, c.settings.crashingFrom, c.settings.instances = true, seed, 5*time.Second, 9
				c.settings.soundRate, c.settings.models, c.settings.repeats = 60, 4, 1
				c.settings.firstEvent, c.settings.restart = quick, restart
				p := newPromptSite(t, c.settings)
				p.run(25 * time.Second)
				require.GreaterOrEqual(t, len(p.crashes), 3, "not found sooner")
				assert.LessOrEqual(t, p.sentAfter(3, window), 3, "sent after the bound, of %d; %d endpoints crashed", len(p.crashingRun), len(p.crashes))
				assert.LessOrEqual(t, p.refusals, 5+int(p.requests)/500, "refusals of sound requests")
			})
		}
	}
}

// Of two requests that were in flight at all crashes the sound one is refused until its first review:
// one instance sends it within a turn, and its answer clears it everywhere.
func TestRequestsThatNothingTellsApartAreReviewed(t *testing.T) {
	for seed := range suspect.Fingerprint(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &testClock{}
			p := idleSite(t, w, 9)
			crashing, sound := suspect.Identity{Request: 2 + seed<<8, Resource: 3 + seed<<8}, suspect.Identity{Request: 4 + seed<<8, Resource: 5 + seed<<8}
			for i := range 5 {
				d := suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", i), FailedAt: w.now()}
				for _, id := range []suspect.Identity{crashing, sound} {
					d.Runs = append(d.Runs, suspect.CrashedRun{Keys: id.Keys(), Age: 10 * time.Millisecond})
				}
				for _, s := range p.states {
					s.crashes.Add(w.now(), d)
				}
				w.elapsed += 300 * time.Millisecond
			}
			w.elapsed += settleBeats * siteBeat
			var by []*state
			for range 10 * int(reviewTurnTime/time.Second) {
				w.elapsed += 100 * time.Millisecond
				for _, s := range p.states {
					if _, err := s.ClaimRun(&balance.Request{}, sound); err == nil {
						by = append(by, s)
					}
				}
			}
			require.NotEmpty(t, by, "reviewed within a turn")
			require.LessOrEqual(t, len(by), 2, "one request in a turn")
			by[0].AnswerCompleted(sound)
			_, b := by[0].heartbeat()
			for _, s := range p.states {
				if s != by[0] {
					s.receiveHeartbeat(b)
				}
				assert.False(t, s.refuses(sound))
				assert.True(t, s.refuses(crashing))
			}
		})
	}
}

// The only endpoint that has a model goes down and up for some seconds under a request that comes again
// and again. The request is never denied: one is sent once the endpoint has been up for a while, whose
// answer clears it everywhere. If it ends the endpoint again, the request is denied for longer.
func TestRequestWhoseEndpointFlapsIsNotDenied(t *testing.T) {
	for _, crashing := range []bool{false, true} {
		t.Run(fmt.Sprint("crashing ", crashing), func(t *testing.T) {
			w := &testClock{}
			p := idleSite(t, w, 9)
			id, query := suspect.Identity{Request: 7, Resource: 8}, &balance.Request{Service: "s", Model: "m"}
			list := func(n int64) {
				removed, id := fleet.Endpoint(fmt.Sprint("i-", n-1)), fleet.Endpoint(fmt.Sprint("i-", n))
				p.apply(roster.Record{ID: removed, Removed: true})
				p.apply(roster.Record{ID: id, Entry: roster.Entry{ID: id, Service: "s", Born: n, Models: []roster.Holding{{Model: "m"}}}})
			}
			crash := func(n int, age time.Duration) {
				run := suspect.CrashedRun{Keys: id.Keys(), Age: age, Begun: true}
				for _, s := range p.states {
					s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", n), FailedAt: w.now(), Runs: []suspect.CrashedRun{run}})
				}
			}
			for n := range 5 {
				list(int64(n))
				w.elapsed += 700 * time.Millisecond
				crash(n, 100*time.Millisecond)
				w.elapsed += 700 * time.Millisecond
			}
			list(5)
			w.elapsed += settleBeats * siteBeat
			sends, denied, up := 0, 0, w.elapsed
			var first time.Duration
			for at := up; at < up+50*time.Second; at += 100 * time.Millisecond {
				w.elapsed = at
				for _, s := range p.states {
					_, err := s.ClaimRun(query, id)
					switch {
					case errors.Is(err, gateway.ErrPoison):
						denied++
					case err == nil && crashing:
						crash(100+sends, 0)
						sends++
					case err == nil:
						s.AnswerCompleted(id)
						_, b := s.heartbeat()
						for _, o := range p.states {
							if o != s {
								o.receiveHeartbeat(b)
							}
						}
						sends++
					}
					if sends == 1 && first == 0 {
						first = at - up
					}
				}
			}
			assert.Greater(t, first, soundTime-settleBeats*siteBeat-siteBeat)
			assert.Less(t, first, recoveryTime+reviewTurnTime)
			if crashing {
				assert.LessOrEqual(t, sends, 3)
				assert.Positive(t, denied)
			} else {
				assert.Greater(t, sends, 1000, "sent again by all")
				assert.Zero(t, denied)
			}
		})
	}
}

// Endpoints that end for another reason don't make the requests that callers send again and again
// poison requests.
func TestPolledRequestsAreNotPoison(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		settings promptSiteSettings
	}{
		{"connections reset", promptSiteSettings{resets: 0.4}},
		{"endpoints end", promptSiteSettings{ends: 1}},
		{"a rack ends", promptSiteSettings{ends: 0.3, rack: 6, firstEvent: slowFirstEvent}},
		{"all endpoints end by turns", promptSiteSettings{ends: 0.5, endpoints: 3}},
		{"endpoints end, heartbeats lost and late", promptSiteSettings{ends: 1, loss: 0.3, slow: 0.2}},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				settings := c.settings
				settings.seed, settings.instances, settings.soundRate, settings.polled = seed, 9, 25, 0.8
				p := newPromptSite(t, settings)
				p.run(60 * time.Second)
				assert.Empty(t, p.refused)
			})
		}
	}
}

// An instance that was frozen, cut off or not started while endpoints crashed under a request
// learns of it from the first heartbeat, whether or not it heard of some of the crashes.
func TestInstanceThatMissedCrashesLearnsOfRequest(t *testing.T) {
	poison := suspect.Identity{Request: 7}
	for _, after := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 40 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			w := &testClock{}
			one, two := newTestState(w), newTestState(w)
			for i := range 3 {
				d := suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", i), FailedAt: w.now(), Runs: []suspect.CrashedRun{{Keys: []suspect.Key{suspect.RequestKey(poison.Request)}}}}
				one.crashes.Add(w.now(), d)
				if i == 2 {
					two.crashes.Add(w.now(), d)
				}
				w.elapsed += time.Second
			}
			w.elapsed += after
			_, b := one.heartbeat()
			b.Peer.Instance, b.Ended = "other", nil
			two.receiveHeartbeat(b)
			assert.True(t, two.refuses(poison))
			two.AnswerCompleted(poison)
			two.receiveHeartbeat(b)
			assert.False(t, two.refuses(poison), "answered since")
		})
	}
}

// A crash counts as soon as the endpoint is found gone, and still if its entry tells so late.
func TestCrashCountsOnceTheEndpointIsGone(t *testing.T) {
	key := incarnation{id: "p"}
	tests := []struct {
		name  string
		after time.Duration
		end   func(w *testClock, s *state)
		want  int
	}{
		{name: "nothing listens", after: 200 * time.Millisecond, end: func(w *testClock, s *state) { s.recordAsked(key, w.now(), true, nil) }, want: 1},
		{name: "it answers", after: 200 * time.Millisecond, end: func(w *testClock, s *state) { s.recordAsked(key, w.now(), false, nil) }},
		{name: "silent, its entry expires", after: 4 * time.Second, end: func(w *testClock, s *state) {
			s.recordAsked(key, w.now(), false, assert.AnError)
			s.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 2, Removed: true}}, 2, false)
		}, want: 1},
		{name: "listed again under its id", after: 4 * time.Second, end: func(_ *testClock, s *state) {
			s.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 2, Entry: roster.Entry{ID: "p", Service: "s", Born: 9, Revision: 2}}}, 2, false)
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &testClock{}
			s := newTestState(w)
			s.AnswerInterrupted(gateway.Target{ID: "p"}, suspect.Identity{Request: 4}, w.now(), false)
			asked := 0
			for w.elapsed < tt.after {
				w.elapsed += 50 * time.Millisecond
				due, _ := s.endpointsToAsk()
				asked += len(due)
			}
			assert.LessOrEqual(t, asked, 5)
			tt.end(w, s)
			s.cleanUp()
			assert.Len(t, s.crashes.Since(time.Time{}), tt.want)
		})
	}
}

// An answer that comes long after a crash clears the request, and the parts of its prompt, at all
// instances.
func TestLateAnswersClearAtAllInstances(t *testing.T) {
	for _, key := range []suspect.Key{suspect.RequestKey(7), suspect.PartKey("x")} {
		t.Run(string(key), func(t *testing.T) {
			w := &testClock{}
			one, two := newTestState(w), newTestState(w)
			crash := func(n int) {
				for _, s := range []*state{one, two} {
					s.crashes.Add(w.now(), suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", n), FailedAt: w.now(), Runs: []suspect.CrashedRun{{Keys: []suspect.Key{key}}}})
				}
				w.elapsed += time.Second
			}
			for n := range 2 {
				crash(n)
			}
			w.elapsed += 3 * crashNewsTime
			one.crashes.Answered(key, w.now())
			w.elapsed += siteBeat
			_, b := one.heartbeat()
			b.Peer.Instance = "other"
			two.receiveHeartbeat(b)
			for n := range 3 {
				crash(2 + n)
			}
			w.elapsed += settleBeats * siteBeat
			v, _ := one.crashes.Verdict(w.now(), key)
			other, _ := two.crashes.Verdict(w.now(), key)
			assert.Equal(t, v.Crashes, other.Crashes, "crashes that count at either")
		})
	}
}

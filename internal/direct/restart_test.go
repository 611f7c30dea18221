package direct

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// A request that was refused since it crashes endpoints is sent on once all instances have started again.
func TestCrashingRequestAfterTheLossOfAllInstances(t *testing.T) {
	t.Parallel()
	const stable = 4 * time.Second
	for _, c := range []struct {
		name   string
		rate   float64
		losses []time.Duration
	}{
		{"no loss", 0.4, nil},
		{"one loss", 3, []time.Duration{20 * time.Second}},
		{"one loss, few", 0.4, []time.Duration{20 * time.Second}},
		{"two losses", 3, []time.Duration{20 * time.Second, 30 * time.Second}},
		{"two losses, few", 0.4, []time.Duration{20 * time.Second, 40 * time.Second}},
	} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				p := newPromptSite(t, promptSiteSettings{
					instances: 9, identical: true, seed: seed, crashingRate: c.rate, crashingFrom: 2 * time.Second, soundRate: 25, hot: 0.7, polled: 0.3,
				})
				for _, at := range c.losses {
					p.after(at, p.killAll)
				}
				p.run(60 * time.Second)
				require.GreaterOrEqual(t, len(p.crashes), 3)
				sent := 0
				for _, at := range p.crashingRun {
					counts := at > p.crashes[2]+stable
					for _, loss := range c.losses {
						counts = counts && (at < loss || at > loss+stable)
					}
					if counts {
						sent++
					}
				}
				assert.LessOrEqual(t, sent, 3, "%d sent in all, %d endpoints crashed", len(p.crashingRun), len(p.crashes))
			})
		}
	}
}

// A verdict outlives its instances in the store, and one that an answer has ended doesn't.
func TestVerdictsOutliveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := bufconn.Listen(1 << 16)
		store := standin.NewStore(500, standin.WithListener(listener))
		defer store.Close()
		ctx, stop := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		poison := suspect.Identity{Request: 7}
		update := func(n *Node) {
			n.state.storeAnswered()
			n.verdictRecords.update(ctx)
		}
		start := func() *Node {
			n := newTestNode(t, "one", nil)
			n.useTestStore(ctx, group, listener)
			n.verdictRecords.store = n.store
			update(n)
			return n
		}
		first := start()
		for i := range 3 {
			now := first.clock()
			first.state.crashes.Add(now, suspect.EndpointCrash{Incarnation: fmt.Sprint("i-", i), FailedAt: now, Runs: []suspect.CrashedRun{{Keys: poison.Keys()}}})
			time.Sleep(time.Second)
		}
		update(first)
		calls := store.CallCount()
		update(first)
		assert.Equal(t, calls, store.CallCount(), "nothing has changed")
		time.Sleep(time.Second)
		second := start()
		require.True(t, second.state.refuses(poison))
		v, _ := second.state.crashes.Verdict(second.clock(), poison.Keys()[0])
		assert.InDelta(t, 2, second.clock().Sub(v.FailedAt).Seconds(), 0.1)

		first.state.AnswerCompleted(poison)
		update(first)
		assert.False(t, start().state.refuses(poison))
		stop()
		require.NoError(t, group.Wait())
	})
}

// Endpoints that were silent for a while count as crashed under the requests whose connections broke there,
// though the same start of each registers again.
func TestSilentEndpointsCountAsCrashed(t *testing.T) {
	w := &testClock{}
	one, two := newTestState(w), newTestState(w)
	sound, revision := identityOf(3), int64(1)
	apply := func(r roster.Record) {
		revision++
		r.Revision, r.Entry.Revision = revision, revision
		for _, s := range []*state{one, two} {
			s.applyRecords(fromStore, []roster.Record{r}, revision, false)
			s.cleanUp()
		}
	}
	news := func() {
		_, b := one.heartbeat()
		b.Peer.Instance = "other"
		two.receiveHeartbeat(b)
		w.elapsed += 300 * time.Millisecond
	}
	for _, id := range []fleet.Endpoint{"a", "b", "c", "d"} {
		entry := roster.Record{ID: id, Entry: roster.Entry{ID: id, Service: "s", Born: 5}}
		apply(entry)
		began := w.now()
		w.elapsed += 10 * time.Millisecond
		one.AnswerInterrupted(gateway.Target{ID: id, Born: 5}, sound, began, false)
		w.elapsed += siteEntryLapse
		apply(roster.Record{ID: id, Removed: true})
		news()
		if id != "d" {
			apply(entry)
		}
		news()
	}
	w.elapsed += settleBeats * siteBeat
	assert.False(t, one.refuses(sound))
	assert.False(t, two.refuses(sound))
}

// Each of some instances that start again while the store is away takes the allowance of retries of all
// for its own.
func TestRetriesWhileTheInstancesAreUnknown(t *testing.T) {
	const allowance, window = 58.0, 10 * time.Second
	w := &testClock{}
	start := w.now()
	var peers []member.Peer
	for i := range 9 {
		peers = append(peers, member.Peer{Instance: fleet.Instance(fmt.Sprint("front-", i)), Address: fmt.Sprint("a:", i)})
	}
	take := func(s *state) int {
		n := 0
		for s.TakeRetry("s") {
			n++
		}
		return n
	}
	unknown, known := 0, 0
	for i := range peers {
		w.elapsed = 0
		s := newTestStateOf(w, peers[i].Instance)
		s.budget = balance.NewBudget(0.2, allowance, window, balance.WithStart(start))
		w.elapsed = 2 * window
		unknown += take(s)
		s.applyInstances(peers)
		unknown += take(s)
		w.elapsed += 2 * instanceListInterval
		known += take(s)
	}
	assert.LessOrEqual(t, unknown+known, int(allowance))
	assert.Positive(t, known)
}

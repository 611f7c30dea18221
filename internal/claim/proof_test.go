package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/coretest"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

func withoutReadBack(c *Claims) { c.readBack = false }
func withoutUnique(c *Claims)   { c.id = func() string { return "claim" } }

// The same keys, sent at once through several instances that are killed at any step,
// with the store down, losing writes and replies or writing late: one run at most.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithGather(func() time.Duration { return time.Hour }, nil)}} {
		schedules(t, everyFault, func(t *rapid.T, s *schedule) {
			require.LessOrEqual(t, s.most(), 1, "runs by key %v", s.runs)
			require.Empty(t, s.problems)
		}, opts...)
	}
}

// Without faults every key runs, and every resend gets the recorded answer or is told
// that it is running.
func TestEveryKeyRunsWithoutFaults(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithGather(func() time.Duration { return time.Hour }, nil)}} {
		schedules(t, []fault{faultNone}, func(t *rapid.T, s *schedule) {
			require.Len(t, s.runs, testKeys)
			require.Equal(t, 1, s.most())
			require.Empty(t, s.problems)
		}, opts...)
	}
}

func TestAtMostOnceNeedsItsMechanisms(t *testing.T) {
	tests := []struct {
		name string
		off  Option
	}{
		{name: "no read back of a lost reply", off: withoutReadBack},
		{name: "no unique claim id", off: withoutUnique},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			most := 0
			schedules(t, everyFault, func(_ *rapid.T, s *schedule) { most = max(most, s.most()) }, tt.off)
			require.Greater(t, most, 1, "a key must have run twice")
		})
	}
}

type fixture struct {
	store *platformtest.Fake
	now   time.Time
	first *Claims
	other *Claims
}

func newFixture() *fixture {
	f := &fixture{store: platformtest.New(), now: coretest.Start}
	clock := WithClock(func() time.Time { return f.now })
	f.first, f.other = New(f.store, clock), New(f.store.Client(), clock)
	return f
}

var order = once.Key{Profile: "shop", Text: "order-1"}

func (f *fixture) request(fingerprint uint64) once.Request {
	return once.Request{ID: "r", Attempt: "a", Fingerprint: fingerprint, Until: f.now.Add(time.Minute)}
}

func TestVerdicts(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name    string
		prepare func(t *testing.T, f *fixture)
		key     once.Key
		body    uint64
		want    once.Kind
		err     error
	}{
		{name: "new", prepare: func(*testing.T, *fixture) {}, want: once.KindGranted},
		{name: "running", prepare: claimed, want: once.KindRunning},
		{name: "holder gone", prepare: abandoned, want: once.KindUnknown},
		{name: "finished", prepare: finished, want: once.KindRecorded},
		{name: "other body", prepare: finished, body: 8, err: once.ErrReused},
		{name: "other profile", prepare: finished, key: once.Key{Profile: "board", Text: order.Text}, want: once.KindGranted},
		{name: "released", prepare: released, want: once.KindGranted},
		{name: "store down", prepare: func(_ *testing.T, f *fixture) {
			f.store.Server().SetFaults(standin.Faults{Down: true})
		}, want: once.KindRefused},
		{name: "lost reply", prepare: func(_ *testing.T, f *fixture) {
			f.store.Server().SetFaults(standin.Faults{LoseReply: 1})
		}, want: once.KindGranted},
		{name: "empty key", key: once.Key{Profile: "shop"}, prepare: func(*testing.T, *fixture) {}, err: once.ErrKey},
		{name: "key from before the window", key: once.Key{Profile: "shop", Text: oldKey()}, prepare: func(*testing.T, *fixture) {}, want: once.KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			tt.prepare(t, f)
			key, body := tt.key, tt.body
			if key == (once.Key{}) {
				key = order
			}
			if body == 0 {
				body = 7
			}
			verdict, err := f.other.Claim(ctx, key, f.request(body))
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, verdict.Kind)
			if verdict.Kind == once.KindRecorded {
				require.Equal(t, "done", string(verdict.Answer.Body))
			}
		})
	}
}

// oldKey carries a time of issue of 2024.
func oldKey() string {
	id := uuid.UUID{0x01, 0x8c, 0xc2, 0x51, 0xf4, 0x00, 0x70, 0x00, 0x80}
	return id.String()
}

func claimed(t *testing.T, f *fixture) {
	t.Helper()
	verdict, err := f.first.Claim(context.Background(), order, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindGranted, verdict.Kind)
}

func abandoned(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	f.now = f.now.Add(time.Hour)
}

func released(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	require.NoError(t, f.first.Release(context.Background(), order, claimID(f)))
}

func claimID(f *fixture) string {
	return f.first.held[order.Path()].record.Claim
}

func finished(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	answer := once.Answer{Status: 200, Body: []byte("done")}
	require.NoError(t, f.first.Finish(context.Background(), order, claimID(f), answer))
}

// An answer that the store could not take is recorded once it is back.
func TestFinishSurvivesAnOutage(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	claimed(t, f)
	f.store.Server().SetFaults(standin.Faults{Down: true})
	require.Error(t, f.first.Finish(ctx, order, claimID(f), once.Answer{Status: 200, Body: []byte("done")}))
	left, err := f.first.Settle(ctx)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.Equal(t, 1, left)
	f.store.Server().SetFaults(standin.Faults{LoseReply: 1})
	left, err = f.first.Settle(ctx)
	require.NoError(t, err)
	require.Zero(t, left)
	verdict, err := f.other.Claim(ctx, order, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindRecorded, verdict.Kind)
}

func TestLargeAnswersAreNotKept(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	claimed(t, f)
	answer := once.Answer{Status: 200, Body: make([]byte, once.AnswerLimit+1)}
	require.NoError(t, f.first.Finish(ctx, order, claimID(f), answer))
	verdict, err := f.other.Claim(ctx, order, f.request(7))
	require.NoError(t, err)
	require.True(t, verdict.Answer.Dropped)
	require.Empty(t, verdict.Answer.Body)
	require.Equal(t, 200, verdict.Answer.Status)
}

// A claim and its end are two writes and no read while the store answers.
func TestClaimCostsTwoWrites(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithGroup(2)}} {
		ctx := context.Background()
		store := platformtest.New()
		claims := New(store, opts...)
		verdict, err := claims.Claim(ctx, order, once.Request{ID: "r", Until: time.Now().Add(time.Minute)})
		require.NoError(t, err)
		require.NoError(t, claims.Finish(ctx, order, verdict.Claim, once.Answer{Status: 200}))
		require.Equal(t, uint64(2), store.Server().Calls().Writes())
		require.Zero(t, store.Server().Calls().Reads())
	}
}

// A sweep removes what outlived its retention, shard by shard, many records a call. It
// keeps younger ones and what it can't read.
func TestSweepInBatches(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	const old, young = 500, 10
	claimMany(t, f, old)
	f.now = f.now.Add(once.DefaultRetention + time.Minute)
	claimMany(t, f, young)
	unreadable := once.ShardPrefix(7) + "shop/unreadable"
	_, err := f.store.Swap(ctx, platform.Write{Key: unreadable, Value: []byte("?")})
	require.NoError(t, err)
	before := f.store.Server().Calls()
	removed := 0
	for range once.Shards {
		n, err := f.first.Sweep(ctx)
		require.NoError(t, err)
		removed += n
	}
	require.Equal(t, old, removed)
	after := f.store.Server().Calls()
	require.Equal(t, uint64(once.Shards), after.Reads()-before.Reads())
	require.LessOrEqual(t, after.Writes()-before.Writes(), uint64(once.Shards))
	left, err := f.store.List(ctx, once.Prefix)
	require.NoError(t, err)
	require.Len(t, left, young+1)
	t.Logf("a record has %d bytes, its key %d", len(left[0].Value), len(left[0].Key))
}

func claimMany(t *testing.T, f *fixture, n int) {
	t.Helper()
	for range n {
		key := once.Key{Profile: "shop", Text: uuid.NewString()}
		_, err := f.first.Claim(context.Background(), key, f.request(7))
		require.NoError(t, err)
	}
}

// A shard with more than one batch takes one commit for each 64 records.
func TestSweepSplitsLargeShards(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	record, err := once.New("c", f.now, f.request(7)).Encode()
	require.NoError(t, err)
	for i := range 150 {
		key := fmt.Sprintf("%sshop/%d", once.ShardPrefix(0), i)
		_, err := f.store.Swap(ctx, platform.Write{Key: key, Value: record})
		require.NoError(t, err)
	}
	f.now = f.now.Add(once.DefaultRetention + time.Minute)
	before := f.store.Server().Calls().Writes()
	removed, err := f.first.Sweep(ctx)
	require.NoError(t, err)
	require.Equal(t, 150, removed)
	require.Equal(t, uint64(3), f.store.Server().Calls().Writes()-before)
}

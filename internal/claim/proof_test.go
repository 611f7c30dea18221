package claim

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/coretest"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

func withoutReadBack(c *Claims)          { c.readBack = false }
func withoutUniqueIDs(c *Claims)         { c.newID = func() string { return "claim" } }
func withoutPreviousPartition(c *Claims) { c.checkPrevious = false }
func withoutLayoutCheck(c *Claims)       { c.checkLayout = false }

// moreShards makes the next period use more shards.
func moreShards(c *Claims) { c.shards = func() int { return 4 * once.MinShards } }

// The same keys are sent concurrently through several instances, which are killed at any
// step, while the store is unavailable, loses writes or replies, or applies writes late. Each
// key runs at most once.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for _, opts := range [][]Option{{moreShards}, {moreShards, WithBatching(func() time.Duration { return time.Hour }, nil)}} {
		checkSchedules(t, allFaults, func(t *rapid.T, s *schedule) {
			require.LessOrEqual(t, s.maxRuns(), 1, "runs by key %v", s.runs)
			require.Empty(t, s.problems)
		}, opts...)
	}
}

// Without faults each key runs exactly once, and each resend gets the recorded answer or the
// result that the request is running.
func TestEveryKeyRunsWithoutFaults(t *testing.T) {
	for _, opts := range [][]Option{{moreShards}, {moreShards, WithBatching(func() time.Duration { return time.Hour }, nil)}} {
		checkSchedules(t, []fault{faultNone}, func(t *rapid.T, s *schedule) {
			require.Len(t, s.runs, testKeys)
			require.Equal(t, 1, s.maxRuns())
			require.Empty(t, s.problems)
		}, opts...)
	}
}

// Without any one of the mechanisms some schedule runs a key twice, so that each is needed and
// the schedules can detect its absence.
func TestAtMostOnceNeedsItsMechanisms(t *testing.T) {
	tests := []struct {
		name string
		off  Option
	}{
		{name: "no read after a lost reply", off: withoutReadBack},
		{name: "no unique claim id", off: withoutUniqueIDs},
		{name: "no check of the previous partition", off: withoutPreviousPartition},
		{name: "no check of the layout", off: withoutLayoutCheck},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			maxRuns := 0
			checkSchedules(t, allFaults, func(_ *rapid.T, s *schedule) { maxRuns = max(maxRuns, s.maxRuns()) }, moreShards, tt.off)
			require.Greater(t, maxRuns, 1, "a key must have run twice")
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

var orderKey = once.Key{Profile: "shop", Text: "order-1"}

func (f *fixture) request(fingerprint uint64) once.Request {
	return once.Request{ID: "r", Attempt: "a", Fingerprint: fingerprint, Deadline: f.now.Add(time.Minute)}
}

func TestClaimResults(t *testing.T) {
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
		{name: "other profile", prepare: finished, key: once.Key{Profile: "board", Text: orderKey.Text}, want: once.KindGranted},
		{name: "released", prepare: released, want: once.KindGranted},
		{name: "store down", prepare: func(_ *testing.T, f *fixture) {
			f.store.Server().SetFaults(standin.Faults{Down: true})
		}, want: once.KindRefused},
		{name: "lost reply", prepare: func(_ *testing.T, f *fixture) {
			f.store.Server().SetFaults(standin.Faults{LoseReply: 1})
		}, want: once.KindGranted},
		{name: "empty key", key: once.Key{Profile: "shop"}, prepare: func(*testing.T, *fixture) {}, err: once.ErrKey},
		{name: "key issued before the resend window", key: once.Key{Profile: "shop", Text: oldKey()}, prepare: func(*testing.T, *fixture) {}, want: once.KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			tt.prepare(t, f)
			key, body := tt.key, tt.body
			if key == (once.Key{}) {
				key = orderKey
			}
			if body == 0 {
				body = 7
			}
			result, err := f.other.Claim(ctx, key, f.request(body))
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, result.Kind)
			if result.Kind == once.KindRecorded {
				require.Equal(t, "done", string(result.Answer.Body))
			}
		})
	}
}

// oldKey returns a UUIDv7 key issued at the start of 2024, before the resend window.
func oldKey() string {
	id := uuid.UUID{0x01, 0x8c, 0xc2, 0x51, 0xf4, 0x00, 0x70, 0x00, 0x80}
	return id.String()
}

func claimed(t *testing.T, f *fixture) {
	t.Helper()
	result, err := f.first.Claim(context.Background(), orderKey, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindGranted, result.Kind)
}

func abandoned(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	f.now = f.now.Add(time.Hour)
}

func released(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	require.NoError(t, f.first.Release(context.Background(), orderKey, claimID(f)))
}

func claimID(f *fixture) string {
	return f.first.granted[orderKey.Path()].record.Claim
}

func finished(t *testing.T, f *fixture) {
	t.Helper()
	claimed(t, f)
	answer := once.Answer{Status: 200, Body: []byte("done")}
	require.NoError(t, f.first.Finish(context.Background(), orderKey, claimID(f), answer))
}

// An abandoned claim is dropped from memory, but its key stays claimed in the store.
func TestAbandonedClaimIsDropped(t *testing.T) {
	f := newFixture()
	claimed(t, f)
	f.first.Abandon(orderKey, claimID(f))
	require.Empty(t, f.first.granted)
	f.now = f.now.Add(time.Hour)
	result, err := f.first.Claim(context.Background(), orderKey, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindUnknown, result.Kind)
}

// An answer that could not be written during an outage of the store is written afterwards.
func TestFinishSurvivesAnOutage(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	claimed(t, f)
	f.store.Server().SetFaults(standin.Faults{Down: true})
	require.Error(t, f.first.Finish(ctx, orderKey, claimID(f), once.Answer{Status: 200, Body: []byte("done")}))
	left, err := f.first.Settle(ctx)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.Equal(t, 1, left)
	f.store.Server().SetFaults(standin.Faults{LoseReply: 1})
	left, err = f.first.Settle(ctx)
	require.NoError(t, err)
	require.Zero(t, left)
	result, err := f.other.Claim(ctx, orderKey, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindRecorded, result.Kind)
}

func TestLargeAnswersAreNotStored(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	claimed(t, f)
	answer := once.Answer{Status: 200, Body: make([]byte, once.MaxAnswerBytes+1)}
	require.NoError(t, f.first.Finish(ctx, orderKey, claimID(f), answer))
	result, err := f.other.Claim(ctx, orderKey, f.request(7))
	require.NoError(t, err)
	require.True(t, result.Answer.BodyDropped)
	require.Empty(t, result.Answer.Body)
	require.Equal(t, 200, result.Answer.Status)
}

// Without faults, claiming and finishing a key costs two writes and no read.
func TestClaimCostsTwoWrites(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithGroupCommit(2)}} {
		ctx := context.Background()
		store := platformtest.New()
		claims := New(store, opts...)
		result, err := claims.Claim(ctx, orderKey, once.Request{ID: "r", Deadline: time.Now().Add(time.Minute)})
		require.NoError(t, err)
		require.NoError(t, claims.Finish(ctx, orderKey, result.Claim, once.Answer{Status: 200}))
		require.Equal(t, uint64(2), store.Server().Calls().Writes())
		require.Zero(t, store.Server().Calls().Reads())
	}
}

func claimMany(t *testing.T, f *fixture, n int) []once.Key {
	t.Helper()
	var keys []once.Key
	for range n {
		key := once.Key{Profile: "shop", Text: uuid.NewString()}
		result, err := f.first.Claim(context.Background(), key, f.request(7))
		require.NoError(t, err)
		require.Equal(t, once.KindGranted, result.Kind)
		keys = append(keys, key)
	}
	return keys
}

// sweepAll sweeps as often as it takes to delete a partition and start the next period.
func (f *fixture) sweepAll(t *testing.T) (shards int) {
	t.Helper()
	for range sweepsPerPartition + 1 {
		n, err := f.first.Sweep(context.Background())
		require.NoError(t, err)
		shards += n
	}
	return shards
}

// Sweeps delete the records past their retention and no newer ones. They need one write for
// each shard and list no keys, so that their cost doesn't grow with the number of records.
func TestSweepByPeriods(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	f.first.shards = func() int { return 512 }
	var periods [][]once.Key
	for range 3 {
		periods = append(periods, claimMany(t, f, 300))
		f.now = f.now.Add(once.DefaultRetention + time.Minute)
		f.sweepAll(t)
	}
	periods = append(periods, claimMany(t, f, 300))
	f.now = f.now.Add(once.DefaultRetention + time.Minute)
	before := f.store.Server().Calls()
	require.Equal(t, 512, f.sweepAll(t))
	after := f.store.Server().Calls()
	require.Equal(t, uint64(512+1), after.Writes()-before.Writes())
	require.Zero(t, after.Of(platform.KindList))
	left, err := f.store.List(ctx, once.Prefix)
	require.NoError(t, err)
	require.Len(t, left, 300)
	for i, keys := range periods {
		for _, key := range keys {
			result, err := f.other.Claim(ctx, key, f.request(7))
			require.NoError(t, err)
			require.Equal(t, i < 3, result.Kind == once.KindGranted, "period %d", i)
		}
	}
}

// A key stays claimed for at least its retention, at whatever time of a period it was claimed.
func TestKeyStaysClaimedForItsRetention(t *testing.T) {
	for offset := time.Duration(0); offset < 3*once.DefaultRetention; offset += 7 * time.Hour {
		f := newFixture()
		passTime(t, f, offset)
		key := claimMany(t, f, 1)[0]
		passTime(t, f, once.DefaultRetention)
		result, err := f.other.Claim(context.Background(), key, f.request(7))
		require.NoError(t, err)
		require.NotEqual(t, once.KindGranted, result.Kind, "claimed after %s", offset)
	}
}

// passTime advances the clock in steps of an hour, with sweeps in each.
func passTime(t *testing.T, f *fixture, d time.Duration) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Hour) {
		f.sweepAll(t)
	}
}

// A key that was released before the number of shards changed can be claimed again, once,
// and its record in the previous partition is deleted.
func TestReleasedKeyMovesToCurrentPartition(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	released(t, f)
	require.NoError(t, f.first.beginPeriod(ctx, f.first.cachedLayout()))
	for _, want := range []once.Kind{once.KindGranted, once.KindRunning} {
		result, err := f.other.Claim(ctx, orderKey, f.request(7))
		require.NoError(t, err)
		require.Equal(t, want, result.Kind)
	}
	_, err := f.store.Get(ctx, orderKey.Path())
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// The final record is written to the partition where the key was claimed, even if the layout
// has changed since.
func TestFinishAfterLayoutChange(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	claimed(t, f)
	require.NoError(t, f.other.beginPeriod(ctx, f.other.cachedLayout()))
	require.NoError(t, f.first.Finish(ctx, orderKey, claimID(f), once.Answer{Status: 200, Body: []byte("done")}))
	result, err := f.other.Claim(ctx, orderKey, f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindRecorded, result.Kind)
}

func TestShardsGrowWithTheFleet(t *testing.T) {
	tests := []struct{ instances, want int }{{0, 256}, {8, 256}, {9, 512}, {33, 2048}, {420, 16384}, {513, 32768}}
	for _, tt := range tests {
		require.Equal(t, tt.want, once.ShardsFor(tt.instances))
	}
}

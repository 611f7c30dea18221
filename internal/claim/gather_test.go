package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/once"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

// told is a peer that tells what one instance's ends are.
type told struct{ claims *Claims }

func (p told) Ended(_ context.Context, _, path, claim string) (once.Record, bool) {
	return p.claims.Ended(path, claim)
}

// gathering returns a fixture whose ends wait for ten seconds.
func gathering() *fixture {
	f := newFixture()
	clock := WithClock(func() time.Time { return f.now })
	f.first = New(f.store, clock, WithGather(func() time.Duration { return 10 * time.Second }, nil))
	f.other = New(f.store.Client(), clock, WithGather(func() time.Duration { return 10 * time.Second }, told{f.first}))
	return f
}

func (f *fixture) ended(t *testing.T, n, size int) []once.Key {
	t.Helper()
	ctx := context.Background()
	var keys []once.Key
	for range n {
		key := once.Key{Profile: "shop", Text: uuid.NewString()}
		request := f.request(7)
		request.Holder = "first"
		verdict, err := f.first.Claim(ctx, key, request)
		require.NoError(t, err)
		require.NoError(t, f.first.Finish(ctx, key, verdict.Claim, once.Answer{Status: 200, Body: make([]byte, size)}))
		keys = append(keys, key)
	}
	return keys
}

// Many ends cost one write, and until then a resend to any instance gets the answer.
func TestEndsGoInBatches(t *testing.T) {
	ctx := context.Background()
	f := gathering()
	before := f.store.Server().Calls().Writes()
	keys := f.ended(t, 40, 10)
	_, err := f.first.Settle(ctx)
	require.NoError(t, err)
	require.Equal(t, 40, f.first.Pending())
	for _, claims := range []*Claims{f.first, f.other} {
		verdict, err := claims.Claim(ctx, keys[3], f.request(7))
		require.NoError(t, err)
		require.Equal(t, once.KindRecorded, verdict.Kind)
	}
	resent := f.store.Server().Calls().Writes() - before
	f.now = f.now.Add(10 * time.Second)
	left, err := f.first.Settle(ctx)
	require.NoError(t, err)
	require.Zero(t, left)
	require.Zero(t, f.first.size)
	require.Equal(t, uint64(1), f.store.Server().Calls().Writes()-before-resent)
	f.other.peers = nil
	verdict, err := f.other.Claim(ctx, keys[3], f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindRecorded, verdict.Kind)
}

// A holder that is gone before its batch leaves the key taken: it never runs again.
func TestEndThatWasLostRunsNothing(t *testing.T) {
	f := gathering()
	key := f.ended(t, 1, 10)[0]
	f.other.peers = nil
	for _, want := range []once.Kind{once.KindRunning, once.KindUnknown} {
		verdict, err := f.other.Claim(context.Background(), key, f.request(7))
		require.NoError(t, err)
		require.Equal(t, want, verdict.Kind)
		f.now = f.now.Add(time.Hour)
	}
}

// What waits, and what one commit carries, is bounded by number and by bytes.
func TestBatchesAreBounded(t *testing.T) {
	tests := []struct {
		name              string
		ends, size, least int
	}{
		{name: "many", ends: 3*endLimit + 1, size: 1, least: 3},
		{name: "large", ends: 20, size: once.MaxAnswerBytes, least: 20 / (gatherBytes/once.MaxAnswerBytes + 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := gathering()
			before := f.store.Server().Calls().Writes()
			f.ended(t, tt.ends, tt.size)
			writes := f.store.Server().Calls().Writes() - before - uint64(tt.ends)
			require.GreaterOrEqual(t, writes, uint64(tt.least))
			require.Less(t, f.first.Pending(), endLimit)
			require.LessOrEqual(t, f.first.size, gatherBytes)
		})
	}
}

// While the store is down, what waits stays bounded, and the keys stay taken.
func TestEndsWaitForAStoreThatIsDown(t *testing.T) {
	ctx := context.Background()
	f := gathering()
	var claims []string
	const many = 100
	for i := range many {
		verdict, err := f.first.Claim(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, f.request(7))
		require.NoError(t, err)
		claims = append(claims, verdict.Claim)
	}
	f.store.Server().SetFaults(standin.Faults{Down: true})
	for i, id := range claims {
		_ = f.first.Finish(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, id, once.Answer{Status: 200, Body: make([]byte, once.MaxAnswerBytes)})
	}
	require.Equal(t, many, f.first.Pending())
	require.LessOrEqual(t, f.first.size, pendingBytes+many*2*recordBytes)
	f.store.Server().SetFaults(standin.Faults{})
	require.NoError(t, f.first.Flush(ctx))
	require.Zero(t, f.first.Pending())
	for i := range many {
		verdict, err := f.other.Claim(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, f.request(7))
		require.NoError(t, err)
		require.Equal(t, once.KindRecorded, verdict.Kind)
	}
}

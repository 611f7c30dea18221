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

// localPeer answers as a peer from the Claims of one instance.
type localPeer struct{ claims *Claims }

func (p localPeer) Ended(_ context.Context, _, path, claim string) (once.Record, bool) {
	return p.claims.Ended(path, claim)
}

// newBatchingFixture returns a fixture whose final records wait ten seconds for a batch.
func newBatchingFixture() *fixture {
	f := newFixture()
	clock := WithClock(func() time.Time { return f.now })
	f.first = New(f.store, clock, WithBatching(func() time.Duration { return 10 * time.Second }, nil))
	f.other = New(f.store.Client(), clock, WithBatching(func() time.Duration { return 10 * time.Second }, localPeer{f.first}))
	return f
}

// finishClaims makes and finishes n claims whose answers have bodies of the given size.
func (f *fixture) finishClaims(t *testing.T, n, size int) []once.Key {
	t.Helper()
	ctx := context.Background()
	var keys []once.Key
	for range n {
		key := once.Key{Profile: "shop", Text: uuid.NewString()}
		request := f.request(7)
		request.Holder = "first"
		result, err := f.first.Claim(ctx, key, request)
		require.NoError(t, err)
		require.NoError(t, f.first.Finish(ctx, key, result.Claim, once.Answer{Status: 200, Body: make([]byte, size)}))
		keys = append(keys, key)
	}
	return keys
}

// Many final records are written in one commit. Before that, a resend to any instance gets
// the answer from the pending record.
func TestFinalRecordsAreWrittenInBatches(t *testing.T) {
	ctx := context.Background()
	f := newBatchingFixture()
	before := f.store.Server().Calls().Writes()
	keys := f.finishClaims(t, 40, 10)
	_, err := f.first.Settle(ctx)
	require.NoError(t, err)
	require.Equal(t, 40, f.first.Pending())
	for _, claims := range []*Claims{f.first, f.other} {
		result, err := claims.Claim(ctx, keys[3], f.request(7))
		require.NoError(t, err)
		require.Equal(t, once.KindRecorded, result.Kind)
	}
	resent := f.store.Server().Calls().Writes() - before
	f.now = f.now.Add(10 * time.Second)
	left, err := f.first.Settle(ctx)
	require.NoError(t, err)
	require.Zero(t, left)
	require.Zero(t, f.first.pendingSize)
	require.Equal(t, uint64(1), f.store.Server().Calls().Writes()-before-resent)
	f.other.peers = nil
	result, err := f.other.Claim(ctx, keys[3], f.request(7))
	require.NoError(t, err)
	require.Equal(t, once.KindRecorded, result.Kind)
}

// If a holder is lost before it writes its batch, the key stays claimed, so that the request
// never runs again.
func TestKeyOfLostFinalRecordNeverRunsAgain(t *testing.T) {
	f := newBatchingFixture()
	key := f.finishClaims(t, 1, 10)[0]
	f.other.peers = nil
	for _, want := range []once.Kind{once.KindRunning, once.KindUnknown} {
		result, err := f.other.Claim(context.Background(), key, f.request(7))
		require.NoError(t, err)
		require.Equal(t, want, result.Kind)
		f.now = f.now.Add(time.Hour)
	}
}

// The pending records and those of one commit are bounded in number and in bytes.
func TestBatchesAreBounded(t *testing.T) {
	tests := []struct {
		name                    string
		claims, size, minWrites int
	}{
		{name: "many", claims: 3*maxBatchRecords + 1, size: 1, minWrites: 3},
		{name: "large", claims: 20, size: once.MaxAnswerBytes, minWrites: 20 / (maxBatchBytes/once.MaxAnswerBytes + 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newBatchingFixture()
			before := f.store.Server().Calls().Writes()
			f.finishClaims(t, tt.claims, tt.size)
			writes := f.store.Server().Calls().Writes() - before - uint64(tt.claims)
			require.GreaterOrEqual(t, writes, uint64(tt.minWrites))
			require.Less(t, f.first.Pending(), maxBatchRecords)
			require.LessOrEqual(t, f.first.pendingSize, maxBatchBytes)
		})
	}
}

// While the store is down, the bytes of pending records are bounded, and the keys stay claimed.
func TestPendingRecordsAreBoundedDuringOutage(t *testing.T) {
	ctx := context.Background()
	f := newBatchingFixture()
	var claims []string
	const many = 100
	for i := range many {
		result, err := f.first.Claim(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, f.request(7))
		require.NoError(t, err)
		claims = append(claims, result.Claim)
	}
	f.store.Server().SetFaults(standin.Faults{Down: true})
	for i, id := range claims {
		_ = f.first.Finish(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, id, once.Answer{Status: 200, Body: make([]byte, once.MaxAnswerBytes)})
	}
	require.Equal(t, many, f.first.Pending())
	require.LessOrEqual(t, f.first.pendingSize, maxPendingBytes+many*2*recordOverheadBytes)
	f.store.Server().SetFaults(standin.Faults{})
	require.NoError(t, f.first.Flush(ctx))
	require.Zero(t, f.first.Pending())
	for i := range many {
		result, err := f.other.Claim(ctx, once.Key{Profile: "shop", Text: fmt.Sprint(i)}, f.request(7))
		require.NoError(t, err)
		require.Equal(t, once.KindRecorded, result.Kind)
	}
}

package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/platform"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

// start serves a stand-in on loopback and returns it with a client and its URL.
func start(t *testing.T, opts ...standin.Option) (*standin.Server, *platform.HTTP, string) {
	t.Helper()
	server := standin.NewServer(opts...)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	store := platform.NewHTTP(listener.URL)
	t.Cleanup(store.Close)
	return server, store, listener.URL
}

func TestSwapComparesVersions(t *testing.T) {
	_, store, _ := start(t)
	ctx := context.Background()
	v1, err := store.Swap(ctx, platform.Write{Key: "a/b c", Value: []byte("one")})
	require.NoError(t, err)
	require.NotZero(t, v1)
	tests := []struct {
		name  string
		write platform.Write
		want  error
	}{
		{"create again", platform.Write{Key: "a/b c", Value: []byte("x")}, platform.ErrConflict},
		{"stale", platform.Write{Key: "a/b c", Value: []byte("x"), Expect: v1 + 100}, platform.ErrConflict},
		{"absent", platform.Write{Key: "other", Value: []byte("x"), Expect: 3}, platform.ErrConflict},
		{"fresh", platform.Write{Key: "a/b c", Value: []byte("two"), Expect: v1}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := store.Swap(ctx, tt.write)
			require.ErrorIs(t, err, tt.want)
		})
	}
	e, err := store.Get(ctx, "a/b c")
	require.NoError(t, err)
	require.Equal(t, "two", string(e.Value))
	_, err = store.Swap(ctx, platform.Write{Key: "a/b c", Expect: e.Version, Delete: true})
	require.NoError(t, err)
	_, err = store.Get(ctx, "a/b c")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// A write can be conditional on keys that it doesn't change, and can delete a tree.
func TestWriteConditions(t *testing.T) {
	_, store, _ := start(t)
	ctx := context.Background()
	seen, err := store.Swap(ctx, platform.Write{Key: "layout", Value: []byte("1")})
	require.NoError(t, err)
	tests := []struct {
		name  string
		write platform.Write
		want  error
	}{
		{"as seen", platform.Write{Key: "t/a", IfUnchanged: platform.KeyVersion{Key: "layout", Version: seen}}, nil},
		{"changed", platform.Write{Key: "t/b", IfUnchanged: platform.KeyVersion{Key: "layout", Version: seen + 1}}, platform.ErrConflict},
		{"not absent", platform.Write{Key: "t/b", IfUnchanged: platform.KeyVersion{Key: "layout"}}, platform.ErrConflict},
		{"gone", platform.Write{Key: "t/b", IfUnchanged: platform.KeyVersion{Key: "none", Version: 3}}, platform.ErrConflict},
		{"unless present", platform.Write{Key: "t/b", IfAbsent: []string{"t/a"}}, platform.ErrConflict},
		{"unless absent", platform.Write{Key: "t/c", IfAbsent: []string{"t/b"}}, nil},
		{"tree refused", platform.Write{Key: "t/", DeleteTree: true, IfAbsent: []string{"t/a"}}, platform.ErrConflict},
		{"tree", platform.Write{Key: "t/", DeleteTree: true, IfUnchanged: platform.KeyVersion{Key: "layout", Version: seen}}, nil},
	}
	for _, tt := range tests {
		require.ErrorIs(t, store.Commit(ctx, tt.write), tt.want, tt.name)
	}
	left, err := store.List(ctx, "t/")
	require.NoError(t, err)
	require.Empty(t, left)
	_, err = store.Get(ctx, "layout")
	require.NoError(t, err)
}

func TestValueSizeLimit(t *testing.T) {
	_, store, _ := start(t)
	value := bytes.Repeat([]byte{7}, 1<<20)
	_, err := store.Swap(context.Background(), platform.Write{Key: "big", Value: value})
	require.NoError(t, err)
	e, err := store.Get(context.Background(), "big")
	require.NoError(t, err)
	require.Equal(t, value, e.Value)
	_, err = store.Swap(context.Background(), platform.Write{Key: "bigger", Value: append(value, 1)})
	require.ErrorIs(t, err, platform.ErrConflict)
}

func TestCommitIsAtomic(t *testing.T) {
	_, store, _ := start(t)
	ctx := context.Background()
	_, err := store.Swap(ctx, platform.Write{Key: "k/1", Value: []byte("x")})
	require.NoError(t, err)
	err = store.Commit(ctx, platform.Write{Key: "k/2", Value: []byte("y")}, platform.Write{Key: "k/1", Value: []byte("z")})
	require.ErrorIs(t, err, platform.ErrConflict)
	entries, err := store.List(ctx, "k/")
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.NoError(t, store.Commit(ctx, platform.Write{Key: "k/2"}, platform.Write{Key: "k/3"}))
	entries, err = store.List(ctx, "k/")
	require.NoError(t, err)
	require.Len(t, entries, 3)
	many := make([]platform.Write, 65)
	require.ErrorIs(t, store.Commit(ctx, many...), platform.ErrUnavailable)
}

func TestLeaseHoldsKeyUntilExpiry(t *testing.T) {
	now := time.Unix(0, 0)
	_, store, _ := start(t, standin.WithClock(func() time.Time { return now }))
	ctx := context.Background()
	first, err := store.Grant(ctx, "a", time.Second)
	require.NoError(t, err)
	second, err := store.Grant(ctx, "b", time.Hour)
	require.NoError(t, err)
	held, err := store.Acquire(ctx, "lock", []byte("a"), first)
	require.NoError(t, err)
	again, err := store.Acquire(ctx, "lock", []byte("a"), first)
	require.NoError(t, err)
	require.Equal(t, held.Fence, again.Fence)
	_, err = store.Acquire(ctx, "lock", []byte("b"), second)
	require.ErrorIs(t, err, platform.ErrConflict)
	now = now.Add(900 * time.Millisecond)
	require.NoError(t, store.Renew(ctx, first))
	now = now.Add(time.Second)
	require.ErrorIs(t, store.Renew(ctx, first), platform.ErrNotFound)
	_, err = store.Acquire(ctx, "lock", []byte("a"), first)
	require.ErrorIs(t, err, platform.ErrNotFound)
	taken, err := store.Acquire(ctx, "lock", []byte("b"), second)
	require.NoError(t, err)
	require.Greater(t, taken.Fence, held.Fence)
	_, err = store.Swap(ctx, platform.Write{Key: "x", Holder: first, Guard: "lock"})
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = store.Swap(ctx, platform.Write{Key: "x", Holder: second, Guard: "lock"})
	require.NoError(t, err)
	require.NoError(t, store.Revoke(ctx, second))
	e, err := store.Get(ctx, "lock")
	require.NoError(t, err)
	require.Empty(t, e.Lock)
	require.Greater(t, e.Version, taken.Version)
}

func TestLockDelay(t *testing.T) {
	now := time.Unix(0, 0)
	clock := standin.WithClock(func() time.Time { return now })
	_, store, _ := start(t, clock, standin.WithLockDelay(time.Second))
	ctx := context.Background()
	id, err := store.Grant(ctx, "a", time.Minute)
	require.NoError(t, err)
	next, err := store.Grant(ctx, "b", time.Minute)
	require.NoError(t, err)
	_, err = store.Acquire(ctx, "lock", nil, id)
	require.NoError(t, err)
	require.NoError(t, store.Revoke(ctx, id))
	_, err = store.Acquire(ctx, "lock", nil, next)
	require.ErrorIs(t, err, platform.ErrConflict)
	now = now.Add(time.Second)
	_, err = store.Acquire(ctx, "lock", nil, next)
	require.NoError(t, err)
}

func TestWaitReturnsOnKeyChange(t *testing.T) {
	server, store, _ := start(t)
	ctx := context.Background()
	_, err := store.Wait(ctx, "doc", 0, 20*time.Millisecond)
	require.ErrorIs(t, err, platform.ErrNotFound)
	var group errgroup.Group
	group.Go(func() error {
		e, err := store.Wait(ctx, "doc", 0, 10*time.Second)
		if err == nil && string(e.Value) != "one" {
			return platform.ErrConflict
		}
		return err
	})
	time.Sleep(20 * time.Millisecond)
	v, err := store.Swap(ctx, platform.Write{Key: "doc", Value: []byte("one")})
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	same, err := store.Wait(ctx, "doc", v, 20*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, v, same.Version)
	require.Equal(t, server.Calls(), store.Calls())
}

// TestFaultsMapToClientErrors checks that the client reports a write as not applied
// (ErrUnavailable) only if that is certain, and as ErrUncertain otherwise.
func TestFaultsMapToClientErrors(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		read    error
		write   error
		written bool
	}{
		{"none", standin.Faults{}, nil, nil, true},
		{"down", standin.Faults{Down: true}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"cut", standin.Faults{Cut: true}, platform.ErrUnavailable, platform.ErrUncertain, false},
		{"reply lost", standin.Faults{LoseReply: 1}, nil, platform.ErrUncertain, true},
		{"write lost", standin.Faults{LoseWrite: 1}, nil, platform.ErrUncertain, false},
		{"slow", standin.Faults{SlowMillis: 200}, platform.ErrUnavailable, platform.ErrUncertain, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, store, _ := start(t)
			_, err := store.Swap(context.Background(), platform.Write{Key: "there"})
			require.NoError(t, err)
			server.SetFaults(tt.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err = store.Get(ctx, "there")
			require.ErrorIs(t, err, tt.read)
			ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err = store.Swap(ctx, platform.Write{Key: "k"})
			require.ErrorIs(t, err, tt.write)
			server.SetFaults(standin.Faults{})
			require.Eventually(t, func() bool {
				_, err = store.Get(context.Background(), "k")
				return tt.written == (err == nil)
			}, 2*time.Second, 10*time.Millisecond)
		})
	}
}

func TestFailedDialIsUnavailable(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	listener.Close()
	store := platform.NewHTTP(listener.URL)
	_, err := store.Swap(context.Background(), platform.Write{Key: "k"})
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrUncertain)
}

func TestRateLimitRefusesCalls(t *testing.T) {
	now := time.Unix(0, 0)
	clock := standin.WithClock(func() time.Time { return now })
	server, store, _ := start(t, clock, standin.WithRateLimits(2, 3))
	for i := range 4 {
		_, err := store.Grant(context.Background(), "g", time.Minute)
		require.Equal(t, i < 2, err == nil)
	}
	require.EqualValues(t, 2, server.Refused())
	now = now.Add(time.Second)
	_, err := store.Grant(context.Background(), "g", time.Minute)
	require.NoError(t, err)
}

func TestMemberListLag(t *testing.T) {
	now := time.Unix(0, 0)
	_, store, address := start(t, standin.WithClock(func() time.Time { return now }))
	put(t, address+"/standin/members", standin.Member{
		Service: "engine", Name: "m1", Address: "127.0.0.1:9000", Region: "sask", DataCentre: "dc1",
		Incarnation: "i1", State: "live", Meta: map[string]string{"kind": "runner"},
	})
	rows, err := store.Members(context.Background(), "engine")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, platform.MemberLive, rows[0].State)
	require.Equal(t, "127.0.0.1:9000", rows[0].Address)
	require.Equal(t, "sask", rows[0].Region)
	require.Equal(t, "dc1", rows[0].DataCentre)
	require.Equal(t, "i1", rows[0].Incarnation)
	require.Equal(t, "runner", rows[0].Meta["kind"])
	put(t, address+"/standin/faults", standin.Faults{ListLagMillis: 1000})
	put(t, address+"/standin/members", standin.Member{Service: "engine", Name: "m1", Address: "127.0.0.1:9000", State: "leaving"})
	for _, want := range []platform.MemberState{platform.MemberLive, platform.MemberLeaving} {
		rows, err = store.Members(context.Background(), "engine")
		require.NoError(t, err)
		require.Equal(t, want, rows[0].State)
		now = now.Add(time.Second)
	}
}

func TestCallsAreCounted(t *testing.T) {
	_, store, address := start(t)
	_, err := store.Grant(context.Background(), "g", time.Minute)
	require.NoError(t, err)
	_, err = store.List(context.Background(), "none/")
	require.NoError(t, err)
	res, err := http.Get(address + "/standin/calls")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var got standin.CallsReply
	require.NoError(t, json.NewDecoder(res.Body).Decode(&got))
	require.EqualValues(t, 1, got.Reads)
	require.EqualValues(t, 1, got.Writes)
	require.EqualValues(t, 1, got.Calls.Of(platform.KindGrant))
}

func put(t *testing.T, target string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(data))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(t, http.StatusOK, res.StatusCode)
}

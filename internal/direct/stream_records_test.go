package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// recordedSite is a store in virtual time, and the instances that use it one after the other.
type recordedSite struct {
	t        *testing.T
	store    *standin.Store
	listener *bufconn.Listener
	// delay is the round trip to the store.
	delay time.Duration
}

// delayedConn delays what is written to it.
type delayedConn struct {
	net.Conn

	delay time.Duration
}

func (c delayedConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

func (s *recordedSite) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, err := s.listener.DialContext(ctx)
	return delayedConn{conn, s.delay}, err
}

func newRecordedSite(t *testing.T) *recordedSite {
	t.Helper()
	listener := bufconn.Listen(1 << 16)
	s := &recordedSite{t: t, store: standin.NewStore(500, standin.WithListener(listener)), listener: listener}
	t.Cleanup(s.store.Close)
	return s
}

// list writes the entry of an endpoint of a version, the empty version removes it.
func (s *recordedSite) list(id, version string) {
	if version == "" {
		s.store.Remove(platform.EntryPrefix + id)
		return
	}
	text := standin.EntryText(id, "board", "a")
	s.store.Set(platform.EntryPrefix+id, bytes.Replace(text, []byte(`"version":"v1"`), fmt.Appendf(nil, `"version":%q`, version), 1))
}

// start starts an instance. The returned function ends it abruptly.
func (s *recordedSite) start(name string) (gatewayFleet, func()) {
	s.t.Helper()
	ctx, stop := context.WithCancel(s.t.Context())
	n, group := newTestNode(s.t, name, nil), new(errgroup.Group)
	n.timers.Start(ctx, group)
	n.store = platform.NewStore("store", platform.WithNewEra(n.newEra), platform.WithStallTimeout(n.timers, n.config.Store.Timeout),
		platform.WithStoreDialer(s.dial))
	n.orderLease.store, n.streamRecords.store = n.store, n.store
	group.Go(func() error { return n.watchRoster(ctx) })
	group.Go(func() error { return n.streamRecords.run(ctx) })
	n.tasks.Every("tidy", cleanUpInterval, func(ctx context.Context, _ time.Time) { n.cleanUp(ctx) })
	n.tasks.Every("history", historyInterval, func(ctx context.Context, _ time.Time) { n.streamRecords.updateHistory(ctx) })
	time.Sleep(2 * watchStartDelay)
	return gatewayFleet{n.state, n}, func() {
		stop()
		require.NoError(s.t, group.Wait())
	}
}

func begun(id string, software fleet.Software) origin.Stream {
	return origin.Stream{Service: "board", ID: id, Software: software}
}

// A stream goes on at the version that began it, or is refused, after all instances were killed at any
// time of a release.
func TestOriginsOutliveAllInstances(t *testing.T) {
	const older, newer, unknown = fleet.Software("1"), fleet.Software("2"), fleet.Software("unknown")
	tests := []struct {
		name    string
		release func(s *recordedSite, f gatewayFleet)
		want    map[string]fleet.Software // of streams
		away    bool                      // the store is away once the instances start again
	}{
		{name: "one version ever", release: func(*recordedSite, gatewayFleet) {}, want: map[string]fleet.Software{"before": older, "": older}},
		{name: "both serve", release: func(s *recordedSite, f gatewayFleet) {
			s.list("q", "2")
			time.Sleep(time.Second)
			f.StreamBegan(s.t.Context(), begun("new", newer))
			f.StreamBegan(s.t.Context(), begun("old", older))
		}, want: map[string]fleet.Software{"before": older, "new": newer, "old": older, "never": unknown, "": unknown}},
		{name: "the older one has just left", release: func(s *recordedSite, f gatewayFleet) {
			s.list("q", "2")
			time.Sleep(time.Second)
			f.StreamBegan(s.t.Context(), begun("new", newer))
			s.list("p", "")
			time.Sleep(time.Second)
			f.StreamBegan(s.t.Context(), begun("later", newer))
		}, want: map[string]fleet.Software{"before": older, "new": newer, "later": newer, "never": unknown}},
		{name: "the newer one was taken back", release: func(s *recordedSite, f gatewayFleet) {
			s.list("q", "2")
			time.Sleep(time.Second)
			f.StreamBegan(s.t.Context(), begun("new", newer))
			s.list("q", "")
			time.Sleep(time.Second)
		}, want: map[string]fleet.Software{"before": older, "new": newer, "never": unknown}},
		{name: "the older one left long ago", release: func(s *recordedSite, f gatewayFleet) {
			s.list("q", "2")
			s.list("p", "")
			time.Sleep(origin.Retention + 10*time.Second)
			f.StreamBegan(s.t.Context(), begun("new", newer))
		}, want: map[string]fleet.Software{"new": newer, "never": newer}},
		{name: "the store comes back older amid a release", release: func(s *recordedSite, f gatewayFleet) {
			s.list("q", "2")
			older := s.store.Copy()
			time.Sleep(time.Second)
			f.StreamBegan(s.t.Context(), begun("new", newer))
			s.store.Restore(older)
			time.Sleep(5 * time.Second)
			s.list("p", "")
			s.list("q", "2")
			time.Sleep(time.Second)
		}, want: map[string]fleet.Software{"before": older, "new": newer, "never": unknown}},
		{name: "the store is away", release: func(*recordedSite, gatewayFleet) {}, away: true, want: map[string]fleet.Software{"before": unknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRecordedSite(t)
				s.list("p", "1")
				f, kill := s.start("one")
				f.StreamBegan(t.Context(), begun("before", older))
				tt.release(s, f)
				kill()
				if tt.away {
					s.store.SetFault(standin.FaultDown)
				}
				f, kill = s.start("one")
				defer kill()
				for id, want := range tt.want {
					software, err := f.Origin(t.Context(), "board", id)
					if errors.Is(err, gateway.ErrUnknownOrigin) {
						software, err = unknown, nil
					}
					require.NoError(t, err)
					assert.Equal(t, want, software, "stream %q", id)
				}
			})
		})
	}
}

// The first event of a stream waits for its record, but not for a store that doesn't answer: after the
// first such wait others don't wait, and the records are written once it answers.
func TestFirstEventDoesNotWaitForASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordedSite(t)
		s.list("p", "1")
		s.list("q", "2")
		f, kill := s.start("one")
		defer kill()
		record := func(id string) []byte { return s.store.Value(streamKey(id)) }
		f.StreamBegan(t.Context(), begun("a", "1"))
		assert.JSONEq(t, `{"service":"board","software":"1"}`, string(record("a")))
		s.store.SetFault(standin.FaultSilent)
		for i, wait := range []time.Duration{streamRecordWait, 0, 0} {
			before := time.Now()
			f.StreamBegan(t.Context(), begun(fmt.Sprint("silent-", i), "2"))
			assert.Equal(t, wait, time.Since(before), "stream %d", i)
		}
		s.store.SetFault(standin.FaultNone)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			assert.NotEmpty(t, record(fmt.Sprint("silent-", i)), "stream %d", i)
		}
		f.StreamBegan(t.Context(), begun("b", "2"))
		assert.NotEmpty(t, record("b"), "streams wait again")
	})
}

// While one version serves, streams cost no call to the store.
func TestStreamsOfOneVersionAreNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordedSite(t)
		s.list("p", "1")
		f, kill := s.start("one")
		defer kill()
		time.Sleep(time.Second)
		calls := s.store.CallCount()
		for i := range 100 {
			f.StreamBegan(t.Context(), begun(fmt.Sprint(i), "1"))
		}
		assert.Equal(t, calls, s.store.CallCount())
		assert.JSONEq(t, `{"versions":["1"]}`, string(s.store.Value(servingKey(catalog.Service("board")))))
	})
}

// Instances whose records the store refuses call it less and less often, and write them once it takes
// them.
func TestRefusedRecordsAreRetriedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordedSite(t)
		s.list("p", "1")
		s.list("q", "2")
		f, kill := s.start("one")
		defer kill()
		s.store.SetFault(standin.FaultDown)
		before := s.store.CallCount()
		for i := range 20 {
			f.StreamBegan(t.Context(), begun(fmt.Sprint(i), "1"))
		}
		time.Sleep(10 * time.Second)
		assert.Less(t, s.store.CallCount()-before, 60, "of this instance's watches, leases and records")
		s.store.SetFault(standin.FaultNone)
		time.Sleep(2 * time.Second)
		for i := range 20 {
			assert.NotEmpty(t, s.store.Value(streamKey(fmt.Sprint(i))), "stream %d", i)
		}
	})
}

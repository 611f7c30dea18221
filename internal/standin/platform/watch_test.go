package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/platform"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

const longWait = time.Minute

func liveMember(dc, name string) standin.Member {
	return standin.Member{Service: "engine", Name: name, Address: "127.0.0.1:9000", DataCentre: dc, State: "live"}
}

// A watch returns once the change is visible, not before the lag of the list, and
// returns only members of the requested data centre.
func TestWatchReturnsOnMemberChange(t *testing.T) {
	const lag = 50 * time.Millisecond
	tests := []struct {
		name     string
		change   func(*standin.Server)
		minDelay time.Duration
		rows     int
		index    uint64
	}{
		{name: "change", change: func(s *standin.Server) { s.SetMember(liveMember("d1", "m2")) }, rows: 2, index: 4},
		{name: "elsewhere", change: func(s *standin.Server) { s.SetMember(liveMember("d2", "m2")) }, rows: 1, index: 4},
		{name: "lag", change: func(s *standin.Server) {
			s.SetFaults(standin.Faults{ListLagMillis: int(lag.Milliseconds())})
			s.SetMember(liveMember("d1", "m2"))
		}, minDelay: lag, rows: 2, index: 4},
		{name: "restored", change: func(s *standin.Server) { s.RestoreMembers(1) }, rows: 1, index: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, store, _ := start(t)
			server.SetMember(liveMember("d1", "m1"))
			server.SetMember(liveMember("d2", "m3"))
			query := platform.MemberQuery{Service: "engine", DataCentre: "d1", Wait: longWait}
			list, err := store.Watch(t.Context(), query)
			require.NoError(t, err)
			require.Len(t, list.Members, 1)
			require.EqualValues(t, 3, list.Index)
			query.After = list.Index
			started := time.Now()
			var group errgroup.Group
			group.Go(func() error {
				var err error
				list, err = store.Watch(t.Context(), query)
				return err
			})
			tt.change(server)
			require.NoError(t, group.Wait())
			require.Len(t, list.Members, tt.rows)
			require.Equal(t, tt.index, list.Index)
			require.GreaterOrEqual(t, time.Since(started), tt.minDelay)
			require.EqualValues(t, 1, server.Calls().Of(platform.KindMembers))
			require.EqualValues(t, 1, server.Calls().Of(platform.KindWatch))
		})
	}
}

func TestWatchTimesOutUnchanged(t *testing.T) {
	server, store, _ := start(t)
	server.SetMember(liveMember("d1", "m1"))
	list, err := store.Watch(context.Background(), platform.MemberQuery{Service: "engine", After: 2, Wait: time.Millisecond})
	require.NoError(t, err)
	require.Len(t, list.Members, 1)
	require.EqualValues(t, 2, list.Index)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = store.Watch(ctx, platform.MemberQuery{Service: "engine", After: 2, Wait: longWait})
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

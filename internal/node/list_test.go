package node

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// slowEntries lets something happen between the first taking of rows and their arrival.
type slowEntries struct {
	*directory.Directory

	begun   atomic.Bool
	between func()
}

func (s *slowEntries) ReplaceAll(serial uint64, rows []directory.Registration) {
	if s.begun.CompareAndSwap(false, true) {
		s.between()
	}
	s.Directory.ReplaceAll(serial, rows)
}

// listedOnly makes a list know one endpoint of a service.
func listedOnly(t *testing.T, l list, service, name string) {
	t.Helper()
	other := listing.New("instances", []string{"a", "b"}, "d1", nil)
	other.Update(time.Now(), service, platform.MemberList{Index: 1, Members: []platform.Member{{Name: name, DataCentre: "d1"}}})
	require.True(t, l.ApplyReply(other.Reply(&peerpb.ListRequest{Datacentre: "d1"})))
}

// Two services' watches end at the same time: the directory ends with the rows of both,
// whichever hands its rows over last.
func TestWatchesThatEndTogether(t *testing.T) {
	const pause = 100 * time.Millisecond // for a second hand-over that nothing holds back
	l := list{listing.New("instances", []string{"a", "b"}, "d1", nil), &sync.Mutex{}}
	listedOnly(t, l, "a", "e1")
	var group errgroup.Group
	entries := &slowEntries{Directory: directory.New()}
	entries.between = func() {
		listedOnly(t, l, "b", "e2")
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			l.show(time.Now(), func([]member.Peer) {}, entries)
			return nil
		})
		select {
		case <-done:
		case <-time.After(pause):
		}
	}
	l.show(time.Now(), func([]member.Peer) {}, entries)
	require.NoError(t, group.Wait())
	require.Len(t, entries.All(), 2)
}

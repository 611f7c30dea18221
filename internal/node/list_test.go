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

// pausedDirectory runs a function before its first ReplaceAll, after the rows were read from
// the list.
type pausedDirectory struct {
	*directory.Directory

	replaced       atomic.Bool
	onFirstReplace func()
}

func (p *pausedDirectory) ReplaceAll(serial uint64, rows []directory.Registration) {
	if p.replaced.CompareAndSwap(false, true) {
		p.onFirstReplace()
	}
	p.Directory.ReplaceAll(serial, rows)
}

// adoptEndpoint adds one endpoint of a service to a list.
func adoptEndpoint(t *testing.T, l platformList, service, name string) {
	t.Helper()
	other := listing.New("instances", []string{"a", "b"}, "d1", nil)
	other.Update(time.Now(), service, platform.MemberList{Index: 1, Members: []platform.Member{{Name: name, DataCentre: "d1"}}})
	require.True(t, l.ApplyReply(other.Reply(&peerpb.ListRequest{Datacentre: "d1"})))
}

// When the watches of two services return concurrently, an older set of rows could overwrite
// a newer one. The directory must hold the rows of both, whichever writes last.
func TestConcurrentWatchesKeepRowsOfBothServices(t *testing.T) {
	const pause = 100 * time.Millisecond // time for the second apply to complete if no lock holds it back
	l := platformList{listing.New("instances", []string{"a", "b"}, "d1", nil), &sync.Mutex{}}
	adoptEndpoint(t, l, "a", "e1")
	var group errgroup.Group
	entries := &pausedDirectory{Directory: directory.New()}
	entries.onFirstReplace = func() {
		adoptEndpoint(t, l, "b", "e2")
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			l.apply(time.Now(), func([]member.Peer) {}, entries)
			return nil
		})
		select {
		case <-done:
		case <-time.After(pause):
		}
	}
	l.apply(time.Now(), func([]member.Peer) {}, entries)
	require.NoError(t, group.Wait())
	require.Len(t, entries.All(), 2)
}

package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/peer"
)

// A connection with many open calls doesn't keep out those of others.
func TestCallLimit(t *testing.T) {
	l := newCallLimit()
	calls, end := context.WithCancel(t.Context())
	many := peer.NewContext(calls, &peer.Peer{Addr: &net.TCPAddr{Port: 1}})
	few := peer.NewContext(calls, &peer.Peer{Addr: &net.TCPAddr{Port: 1}})
	admitted := func(ctx context.Context, count int) (n int) {
		for range count {
			if _, err := l.admit(ctx, nil); err == nil {
				n++
			}
		}
		return n
	}
	assert.Equal(t, maxCalls, admitted(many, maxCalls+10))
	assert.Equal(t, fairCalls, admitted(few, fairCalls+10))
	end()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.all == 0 && len(l.byPeer) == 0
	}, 10*time.Second, time.Millisecond)
}

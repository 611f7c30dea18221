package gossip

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// maxCalls bounds the calls that run at once, relayed connections too. Beyond it, a connection may have
	// fairCalls.
	maxCalls  = 2048
	fairCalls = 8
)

var errTooManyCalls = status.Error(codes.ResourceExhausted, "too many calls run at once")

// callLimit bounds the calls that run at once, so that clients which leave many open don't keep out the
// others. It is safe for concurrent use.
type callLimit struct {
	mu     sync.Mutex
	all    int
	byPeer map[net.Addr]int // one address is one connection
}

func newCallLimit() *callLimit { return &callLimit{byPeer: make(map[net.Addr]int)} }

// admit is the tap of a gRPC server: it decides on a call before the server spends anything on it.
func (l *callLimit) admit(ctx context.Context, _ *tap.Info) (context.Context, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ctx, nil
	}
	if !l.begin(p.Addr) {
		return nil, errTooManyCalls
	}
	context.AfterFunc(ctx, func() { l.end(p.Addr) }) // a call's context ends with it
	return ctx, nil
}

func (l *callLimit) begin(from net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all >= maxCalls && l.byPeer[from] >= fairCalls {
		return false
	}
	l.all++
	l.byPeer[from]++
	return true
}

func (l *callLimit) end(from net.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all--
	if l.byPeer[from]--; l.byPeer[from] == 0 {
		delete(l.byPeer, from)
	}
}

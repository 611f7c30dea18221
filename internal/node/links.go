package node

import (
	"context"
	"sync"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer"
)

// links holds one open heartbeat stream to each peer.
type links struct {
	client *peer.Client

	mu   sync.Mutex
	open map[string]*link // by address
}

func newLinks(client *peer.Client) *links {
	return &links{client: client, open: make(map[string]*link)}
}

func (l *links) get(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.open[address]
	if !ok {
		k = &link{client: l.client, address: address}
		l.open[address] = k
	}
	return k
}

// retainOnly closes the streams to all peers that are not in the list.
func (l *links) retainOnly(known []member.Peer) {
	addresses := make(map[string]bool, len(known))
	for _, p := range known {
		addresses[p.Address] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.open {
		if !addresses[address] {
			k.close()
			delete(l.open, address)
		}
	}
}

// link is the heartbeat stream to one peer. It is reopened after a failure.
type link struct {
	client  *peer.Client
	address string

	mu     sync.Mutex
	sender *beat.Sender
	stream *peer.HeartbeatStream
}

// send sends the next heartbeat. If an existing stream turns out to be broken, it retries
// once on a new one.
func (k *link) send(ctx context.Context, r heartbeatRound) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.stream == nil
	err := k.trySend(ctx, r)
	if err == nil || fresh || ctx.Err() != nil {
		return err
	}
	return k.trySend(ctx, r)
}

func (k *link) trySend(ctx context.Context, r heartbeatRound) error {
	if k.stream == nil {
		stream, err := k.client.OpenHeartbeats(ctx, k.address)
		if err != nil {
			return err
		}
		k.stream, k.sender = stream, beat.NewSender()
	}
	err := k.stream.Send(ctx, r.messageFor(k.sender))
	if err != nil {
		k.stream.Close()
		k.stream = nil
	}
	return err
}

func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stream != nil {
		k.stream.Close()
		k.stream = nil
	}
}

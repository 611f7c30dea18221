package node

import (
	"context"
	"sync"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer"
)

// links keeps a stream of heartbeats to each peer.
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

// keep closes the streams to all but the known peers.
func (l *links) keep(known []member.Peer) {
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

// link is the stream of heartbeats to one peer, opened anew whenever it broke.
type link struct {
	client  *peer.Client
	address string

	mu     sync.Mutex
	sender *beat.Sender
	stream *peer.HeartbeatStream
}

// send sends the next heartbeat. On a stream that turns out to be broken it is sent
// again on a fresh one.
func (k *link) send(ctx context.Context, r round) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.stream == nil
	err := k.try(ctx, r)
	if err == nil || fresh || ctx.Err() != nil {
		return err
	}
	return k.try(ctx, r)
}

func (k *link) try(ctx context.Context, r round) error {
	if k.stream == nil {
		stream, err := k.client.OpenHeartbeats(ctx, k.address)
		if err != nil {
			return err
		}
		k.stream, k.sender = stream, beat.NewSender()
	}
	err := k.stream.Send(ctx, r.to(k.sender))
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

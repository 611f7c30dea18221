package node

import (
	"context"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// list is the platform's list as this instance knows it.
type list struct {
	*listing.List

	taking *sync.Mutex
}

// entries is the part of the directory that the list fills.
type entries interface {
	All() []directory.Entry
	ReplaceAll(serial uint64, rows []directory.Registration)
}

// show brings the members and the directory up to the list. The services' watches end side by side:
// each takes the rows and hands them over in one go, so that older rows never come last.
func (l list) show(now time.Time, seen func([]member.Peer), to entries) {
	l.taking.Lock()
	defer l.taking.Unlock()
	seen(l.Peers())
	to.ReplaceAll(l.Version(), l.Endpoints(now, to.All()))
}

func (n *Node) newList() list {
	c := n.config
	return list{listing.New(c.Platform.Instances, c.Platform.Endpoints, fleet.DataCentre(c.Instance.Datacentre), n.store), &sync.Mutex{}}
}

func (l list) mark() uint64 {
	return l.StateHash()
}

// List implements peer.Handler.
func (n *Node) List(_ context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return n.list.Reply(r), nil
}

// readList waits for a change of one service's list if this instance watches, or
// lacks a part of the list.
func (n *Node) readList(ctx context.Context, service string) {
	if n.list.Version() > 0 && !n.members.watches() {
		return
	}
	changed, err := n.list.Watch(ctx, service, n.clock)
	if err == nil && changed {
		n.takeList()
	}
	if n.list.Version() == 0 {
		for _, seed := range n.config.Peer.Seeds {
			n.pullList(ctx, seed)
		}
	}
}

func (n *Node) pullList(ctx context.Context, address string) {
	reply, err := n.client.List(ctx, address, n.list.Request())
	if err == nil && n.list.ApplyReply(reply) {
		n.takeList()
	}
}

func (n *Node) takeList() {
	now := n.clock()
	seen := func(peers []member.Peer) {
		n.members.change(func(v *member.View) { v.ApplyList(now, peers) })
	}
	n.list.show(now, seen, n.directory)
	n.pool.Retain()
	n.documents.Nudge()
}

package node

import (
	"context"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// list is the platform's list as this instance knows it.
type list struct{ *listing.List }

func (n *Node) newList() list {
	c := n.config
	return list{listing.New(c.Platform.Instances, c.Platform.Endpoints, fleet.DataCentre(c.Instance.Datacentre), n.store)}
}

func (l list) mark() uint64 {
	return l.Mark()
}

// List implements peer.Handler.
func (n *Node) List(_ context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return n.list.Reply(r), nil
}

// readList waits for a change of one service's list if this instance watches, or
// lacks a part of the list.
func (n *Node) readList(ctx context.Context, service string) {
	if n.list.Current() > 0 && !n.members.watches() {
		return
	}
	changed, err := n.list.Watch(ctx, service, n.clock)
	if err == nil && changed {
		n.takeList()
	}
	if n.list.Current() == 0 {
		for _, seed := range n.config.Peer.Seeds {
			n.pullList(ctx, seed)
		}
	}
}

func (n *Node) pullList(ctx context.Context, address string) {
	reply, err := n.client.List(ctx, address, n.list.Request())
	if err == nil && n.list.Adopt(reply) {
		n.takeList()
	}
}

func (n *Node) takeList() {
	peers := n.list.Peers()
	n.members.change(func(v *member.View) { v.Listed(n.clock(), peers) })
	n.directory.List(n.list.Current(), n.list.Endpoints(n.clock(), n.directory.All()))
	n.pool.Retain()
	n.documents.Nudge()
}

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

// platformList is this instance's copy of the platform's list of instances and endpoints.
type platformList struct {
	*listing.List

	applyMu *sync.Mutex
}

// endpointDirectory is the part of directory.Directory that the list is written to.
type endpointDirectory interface {
	All() []directory.Entry
	ReplaceAll(serial uint64, rows []directory.Registration)
}

// apply updates the members and the directory from the list. The watches of several services
// can return concurrently: rows are read and written under one lock, so that older rows never
// overwrite newer ones.
func (l platformList) apply(now time.Time, updatePeers func([]member.Peer), to endpointDirectory) {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	updatePeers(l.Peers())
	to.ReplaceAll(l.Version(), l.Endpoints(now, to.All()))
}

func (n *Node) newPlatformList() platformList {
	c := n.config
	return platformList{listing.New(c.Platform.Instances, c.Platform.Endpoints, fleet.DataCentre(c.Instance.Datacentre), n.store), &sync.Mutex{}}
}

func (l platformList) digest() uint64 {
	return l.StateHash()
}

// List implements peer.Handler.
func (n *Node) List(_ context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return n.list.Reply(r), nil
}

// readList waits for a change of one service's list if this instance is a watcher or its
// list is incomplete. An incomplete list is also requested from the seeds.
func (n *Node) readList(ctx context.Context, service string) {
	if n.list.Version() > 0 && !n.members.isWatcher() {
		return
	}
	changed, err := n.list.Watch(ctx, service, n.clock)
	if err == nil && changed {
		n.applyList()
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
		n.applyList()
	}
}

func (n *Node) applyList() {
	now := n.clock()
	updatePeers := func(peers []member.Peer) {
		n.members.update(func(v *member.View) { v.ApplyList(now, peers) })
	}
	n.list.apply(now, updatePeers, n.directory)
	n.pool.StopUnlisted()
	n.documents.Wake()
}

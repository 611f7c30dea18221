package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// fullBeats is after how many heartbeats all endpoints are told, changed or not.
const fullBeats = 10

// beat sends one round of heartbeats and totals.
func (n *Node) beat(ctx context.Context, now time.Time) {
	n.members.change(func(v *member.View) { v.Tick(now) })
	self := locked(n.members, (*member.View).Beat)
	request := n.beatRequest(now, self)
	var g errgroup.Group
	for _, to := range n.members.targets(now) {
		g.Go(func() error {
			n.send(ctx, now, self, to, request)
			return nil
		})
	}
	_ = g.Wait()
}

func (n *Node) send(ctx context.Context, now time.Time, self, to member.Peer, request *peerpb.BeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Peer.Beat)
	defer cancel()
	if to.Place.DataCentre != self.Place.DataCentre {
		n.exchange(ctx, now, to)
		return
	}
	if reply, err := n.client.Beat(ctx, to.Address, request); err == nil {
		n.documents.Heard(fleet.Instance(reply.Instance), reply.Revision)
	}
}

func (n *Node) beatRequest(now time.Time, self member.Peer) *peerpb.BeatRequest {
	full := self.Sequence%fullBeats == 0
	return &peerpb.BeatRequest{
		Instance: string(self.Instance), Region: string(self.Place.Region),
		Datacentre: string(self.Place.DataCentre), Incarnation: self.Incarnation,
		Peer: self.Address, Caller: n.open(self), Sequence: self.Sequence,
		Revision: self.Revision, Leaving: self.Leaving,
		Loads: n.prober.loads(full), Suspects: n.suspects.news(),
		List: n.list.mark(), Passed: n.passed(now),
		Draining: n.drains.asked(now), Demand: n.demand.own(now),
	}
}

// open returns the address that callers may use. An instance that is not ready
// tells none of its own.
func (n *Node) open(p member.Peer) string {
	if p.Instance == n.members.Self().Instance && n.Ready() != nil {
		return ""
	}
	return p.Caller
}

// Beat implements peer.Handler.
func (n *Node) Beat(ctx context.Context, r *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	now := n.clock()
	from := fleet.Instance(r.Instance)
	n.members.change(func(v *member.View) { v.Observe(now, peerOf(r)) })
	n.documents.Heard(from, r.Revision)
	n.suspects.merge(r.Suspects)
	for _, l := range r.Loads {
		if e, ok := n.directory.Get(fleet.Endpoint(l.Endpoint)); ok && !n.members.dispatches(e.Endpoint, e.Place) {
			n.directory.Report(now, fromLoad(l))
		}
	}
	n.drains.hear(now, r.Draining)
	n.demand.hear(now, from, r.Demand)
	n.hearPassed(now, r.Peer, r.Passed)
	if r.List != 0 && r.List != n.list.mark() {
		n.background(func(ctx context.Context) { n.pullList(ctx, r.Peer) })
	}
	self := n.members.Self()
	return &peerpb.BeatReply{Instance: string(self.Instance), Incarnation: self.Incarnation, Revision: self.Revision}, nil
}

func peerOf(r *peerpb.BeatRequest) member.Peer {
	return member.Peer{
		Instance:    fleet.Instance(r.Instance),
		Place:       fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)},
		Incarnation: r.Incarnation, Address: r.Peer, Caller: r.Caller,
		Revision: r.Revision, Leaving: r.Leaving, Sequence: r.Sequence,
	}
}

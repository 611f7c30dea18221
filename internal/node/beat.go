package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/directory"
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
	request := n.beatRequest(self)
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
		if reply, err := n.client.Totals(ctx, to.Address, n.totals(self)); err == nil {
			n.heardTotals(now, reply.Totals)
		}
		return
	}
	if reply, err := n.client.Beat(ctx, to.Address, request); err == nil {
		n.documents.Heard(fleet.Instance(reply.Instance), reply.Revision)
	}
}

func (n *Node) beatRequest(self member.Peer) *peerpb.BeatRequest {
	full := self.Sequence%fullBeats == 0
	return &peerpb.BeatRequest{
		Instance: string(self.Instance), Region: string(self.Place.Region),
		Datacentre: string(self.Place.DataCentre), Incarnation: self.Incarnation,
		Peer: self.Address, Caller: n.open(self), Sequence: self.Sequence,
		Revision: self.Revision, Leaving: self.Leaving,
		Loads: n.prober.loads(full), Suspects: n.suspects.news(),
		List: n.list.mark(), Remote: n.relayed(),
		Draining: n.drains.asked(n.clock()), Demand: n.demand.own(n.clock()),
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

// relayed returns the totals that this instance has heard itself since the last round.
func (n *Node) relayed() []*peerpb.TotalsRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.heard
	n.heard = nil
	return list
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
	for _, t := range r.Remote {
		n.takeTotals(now, t)
	}
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

// Totals implements peer.Handler.
func (n *Node) Totals(_ context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	n.heardTotals(n.clock(), r)
	return &peerpb.TotalsReply{Totals: n.totals(n.members.Self())}, nil
}

// heardTotals takes the totals told by another data centre, to be passed on.
func (n *Node) heardTotals(now time.Time, t *peerpb.TotalsRequest) {
	if t.GetDatacentre() == "" {
		return
	}
	n.takeTotals(now, t)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = append(n.heard, t)
}

func (n *Node) takeTotals(now time.Time, t *peerpb.TotalsRequest) {
	n.remote.hear(now, t)
	var peers []member.Peer
	for _, i := range t.Instances {
		peers = append(peers, member.Peer{
			Instance:    fleet.Instance(i.Instance),
			Place:       fleet.Place{Region: fleet.Region(i.Region), DataCentre: fleet.DataCentre(i.Datacentre)},
			Incarnation: i.Incarnation, Address: i.Peer, Caller: i.Caller, Sequence: i.Sequence,
			Revision: i.Revision, Leaving: i.Leaving,
		})
		n.documents.Heard(fleet.Instance(i.Instance), i.Revision)
	}
	n.members.change(func(v *member.View) { v.Remote(now, peers) })
}

// totals sums up the own data centre for another one.
func (n *Node) totals(self member.Peer) *peerpb.TotalsRequest {
	sums := make(map[string]*peerpb.ModelTotal)
	for _, e := range n.directory.All() {
		if e.Leaving || e.Report.Down {
			continue
		}
		if n.plain(e.Service) {
			add(sums, servicePrefix+e.Service, e.Report)
		}
		for _, m := range e.Report.Models {
			add(sums, string(m), e.Report)
		}
	}
	t := &peerpb.TotalsRequest{
		Datacentre: string(self.Place.DataCentre), Region: string(self.Place.Region), Revision: self.Revision,
	}
	for _, sum := range sums {
		t.Models = append(t.Models, sum)
	}
	for _, p := range n.members.Live(self.Place.DataCentre) {
		t.Instances = append(t.Instances, &peerpb.InstanceAddress{
			Instance: string(p.Instance), Datacentre: string(p.Place.DataCentre), Region: string(p.Place.Region),
			Peer: p.Address, Caller: n.open(p), Incarnation: p.Incarnation, Sequence: p.Sequence,
			Revision: p.Revision, Leaving: p.Leaving,
		})
	}
	return t
}

func add(sums map[string]*peerpb.ModelTotal, name string, r directory.Report) {
	sum, ok := sums[name]
	if !ok {
		sum = &peerpb.ModelTotal{Model: name}
		sums[name] = sum
	}
	sum.Copies++
	sum.Running += uint32(r.Running)
	sum.Queued += uint32(r.Queued)
}

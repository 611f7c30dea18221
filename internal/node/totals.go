package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// exchangeTotals sends the totals of the local data centre to a peer of another one and
// applies the totals in its reply. If the peer lacks the snapshot that the delta is based on,
// it retries at once, with the snapshot.
func (n *Node) exchangeTotals(ctx context.Context, now time.Time, to member.Peer) {
	source := totals.SourceOf(to)
	for range 2 {
		request := &peerpb.TotalsRequest{
			Told:  n.localTotals(now, n.remote.confirmedSnapshot(source)),
			Known: peer.ToSnapshotID(n.remote.knownSnapshot(to.Place.DataCentre, source)),
		}
		reply, err := n.client.Totals(ctx, to.Address, request)
		if err != nil {
			n.members.update(func(v *member.View) { v.Failed(to) })
			return
		}
		n.receiveTotals(now, reply.Told)
		if n.remote.confirm(source, peer.FromSnapshotID(reply.Known)) {
			return
		}
	}
}

// Totals implements peer.Handler.
func (n *Node) Totals(_ context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	now := n.clock()
	n.receiveTotals(now, r.Told)
	reply := &peerpb.TotalsReply{Told: n.localTotals(now, peer.FromSnapshotID(r.Known))}
	for _, t := range r.Told {
		reply.Known = peer.ToSnapshotID(n.remote.knownSnapshot(fleet.DataCentre(t.Datacentre), totals.Source(t.Base.GetTeller())))
	}
	return reply, nil
}

// localTotals returns the messages for a receiver that has the known snapshot of this instance.
func (n *Node) localTotals(now time.Time, knownSnapshot totals.ID) []*peerpb.Told {
	return n.encodeTotals(n.remote.messages(now, n.localState(), knownSnapshot))
}

func (n *Node) encodeTotals(messages []totals.Message) []*peerpb.Told {
	encoded, err := peer.ToTotals(messages)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "totals", "err", err)
	}
	return encoded
}

// receiveTotals applies totals received directly from another data centre.
func (n *Node) receiveTotals(now time.Time, received []*peerpb.Told) {
	for _, t := range received {
		if m, ok := n.decodeTotals(t); ok {
			n.observeRemoteInstances(now, m, n.remote.receive(now, m))
		}
	}
}

// receiveForwarded applies totals of other data centres that a local peer forwarded. If a
// delta is based on an unknown snapshot, it requests both from that peer.
func (n *Node) receiveForwarded(now time.Time, from string, received []*peerpb.Told) {
	for _, t := range received {
		m, ok := n.decodeTotals(t)
		if !ok {
			continue
		}
		result := n.remote.receiveForwarded(now, m)
		n.observeRemoteInstances(now, m, result)
		if result == totals.Unknown {
			n.background(func(ctx context.Context) { n.pullTotals(ctx, from, m) })
		}
	}
}

func (n *Node) decodeTotals(t *peerpb.Told) (totals.Message, bool) {
	m, err := peer.FromTotals(t)
	if err != nil {
		_ = level.Warn(n.logger).Log("step", "totals", "from", t.Datacentre, "err", err)
	}
	return m, err == nil && m.Place.DataCentre != n.members.Self().Place.DataCentre
}

func (n *Node) pullTotals(ctx context.Context, from string, missing totals.Message) {
	reply, err := n.client.Held(ctx, from, &peerpb.HeldRequest{
		Datacentre: string(missing.Place.DataCentre), Teller: uint32(missing.Base.Source),
	})
	if err != nil {
		return
	}
	for _, t := range reply.Told {
		if m, ok := n.decodeTotals(t); ok {
			n.observeRemoteInstances(n.clock(), m, n.remote.receiveForwarded(n.clock(), m))
		}
	}
}

// Held implements peer.Handler.
func (n *Node) Held(_ context.Context, r *peerpb.HeldRequest) (*peerpb.TotalsReply, error) {
	return &peerpb.TotalsReply{Told: n.encodeTotals(n.remote.snapshotAndDelta(fleet.DataCentre(r.Datacentre), totals.Source(r.Teller)))}, nil
}

// observeRemoteInstances passes the instances listed by another data centre to the view and
// the documents, once a snapshot and its delta were applied.
func (n *Node) observeRemoteInstances(now time.Time, m totals.Message, result totals.Result) {
	if result != totals.Applied || m.IsSnapshot() {
		return
	}
	peers := n.remote.instances(m.Place.DataCentre)
	for _, p := range peers {
		n.documents.ObserveRevision(p.Instance, p.Revision)
	}
	n.members.update(func(v *member.View) { v.ObserveRemote(now, peers) })
}

// forwardedTotals returns the totals of other data centres that this instance forwards to
// its local peers.
func (n *Node) forwardedTotals(now time.Time) []*peerpb.Told {
	isFirstSpeaker := func(dc fleet.DataCentre) bool {
		return readView(n.members, func(v *member.View) bool { return v.IsFirstSpeaker(dc) })
	}
	return n.encodeTotals(n.remote.forward(now, isFirstSpeaker))
}

// localState sums up the load and the instances of the local data centre.
func (n *Node) localState() totals.State {
	place := n.members.Self().Place
	sums := make(map[string]totals.Sum)
	for _, e := range n.directory.All() {
		if e.Leaving || e.Report.Down {
			continue
		}
		if n.isPlainService(e.Service) {
			addReport(sums, servicePrefix+e.Service, e.Report)
		}
		for _, m := range e.Report.Models {
			addReport(sums, string(m), e.Report)
		}
	}
	s := totals.State{Place: place, Instances: n.members.Live(place.DataCentre)}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		s.Models = append(s.Models, sums[name])
	}
	for i, p := range s.Instances {
		s.Instances[i].Caller = n.announcedAddress(p)
	}
	return s
}

func addReport(sums map[string]totals.Sum, name string, r directory.Report) {
	sum := sums[name]
	sum.Model = name
	sum.Copies++
	sum.Running += uint32(r.Running)
	sum.Queued += uint32(r.Queued)
	sums[name] = sum
}

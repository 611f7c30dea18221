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

// exchange tells a peer of another data centre the totals of the own one, and takes in
// what it tells. When it lacks the full that was built upon it is told again at once.
func (n *Node) exchange(ctx context.Context, now time.Time, to member.Peer) {
	source := totals.SourceOf(to)
	for range 2 {
		request := &peerpb.TotalsRequest{
			Told:  n.tell(now, n.remote.holds(source)),
			Known: peer.ToSnapshotID(n.remote.known(to.Place.DataCentre, source)),
		}
		reply, err := n.client.Totals(ctx, to.Address, request)
		if err != nil {
			n.members.change(func(v *member.View) { v.Failed(to) })
			return
		}
		n.hearTotals(now, reply.Told)
		if n.remote.confirm(source, peer.FromSnapshotID(reply.Known)) {
			return
		}
	}
}

// Totals implements peer.Handler.
func (n *Node) Totals(_ context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	now := n.clock()
	n.hearTotals(now, r.Told)
	reply := &peerpb.TotalsReply{Told: n.tell(now, peer.FromSnapshotID(r.Known))}
	for _, t := range r.Told {
		reply.Known = peer.ToSnapshotID(n.remote.known(fleet.DataCentre(t.Datacentre), totals.Source(t.Base.GetTeller())))
	}
	return reply, nil
}

// tell returns what to tell one that holds a full of this instance.
func (n *Node) tell(now time.Time, known totals.ID) []*peerpb.Told {
	return n.told(n.remote.tell(now, n.state(), known))
}

func (n *Node) told(list []totals.Message) []*peerpb.Told {
	told, err := peer.ToTotals(list)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "totals", "err", err)
	}
	return told
}

// hearTotals takes what another data centre told this instance.
func (n *Node) hearTotals(now time.Time, told []*peerpb.Told) {
	for _, t := range told {
		if m, ok := n.readTold(t); ok {
			n.heardTotals(now, m, n.remote.hear(now, m))
		}
	}
}

// hearPassed takes what a peer of the own data centre passed on. What rests on an
// unknown full is asked for.
func (n *Node) hearPassed(now time.Time, from string, told []*peerpb.Told) {
	for _, t := range told {
		m, ok := n.readTold(t)
		if !ok {
			continue
		}
		verdict := n.remote.hearPassed(now, m)
		n.heardTotals(now, m, verdict)
		if verdict == totals.Unknown {
			n.background(func(ctx context.Context) { n.pullTotals(ctx, from, m) })
		}
	}
}

func (n *Node) readTold(t *peerpb.Told) (totals.Message, bool) {
	m, err := peer.FromTotals(t)
	if err != nil {
		_ = level.Warn(n.logger).Log("step", "totals", "from", t.Datacentre, "err", err)
	}
	return m, err == nil && m.Place.DataCentre != n.members.Self().Place.DataCentre
}

func (n *Node) pullTotals(ctx context.Context, from string, lacking totals.Message) {
	reply, err := n.client.Held(ctx, from, &peerpb.HeldRequest{
		Datacentre: string(lacking.Place.DataCentre), Teller: uint32(lacking.Base.Source),
	})
	if err != nil {
		return
	}
	for _, t := range reply.Told {
		if m, ok := n.readTold(t); ok {
			n.heardTotals(n.clock(), m, n.remote.hearPassed(n.clock(), m))
		}
	}
}

// Held implements peer.Handler.
func (n *Node) Held(_ context.Context, r *peerpb.HeldRequest) (*peerpb.TotalsReply, error) {
	return &peerpb.TotalsReply{Told: n.told(n.remote.held(fleet.DataCentre(r.Datacentre), totals.Source(r.Teller)))}, nil
}

// heardTotals lets the view and the documents know which instances another data centre
// names, once a whole state was taken.
func (n *Node) heardTotals(now time.Time, m totals.Message, verdict totals.Result) {
	if verdict != totals.Applied || m.IsSnapshot() {
		return
	}
	peers := n.remote.instances(m.Place.DataCentre)
	for _, p := range peers {
		n.documents.Heard(p.Instance, p.Revision)
	}
	n.members.change(func(v *member.View) { v.ObserveRemote(now, peers) })
}

// passed returns the totals of other data centres that this instance passes on.
func (n *Node) passed(now time.Time) []*peerpb.Told {
	first := func(dc fleet.DataCentre) bool {
		return locked(n.members, func(v *member.View) bool { return v.IsFirstSpeaker(dc) })
	}
	return n.told(n.remote.pass(now, first))
}

// state sums up the own data centre.
func (n *Node) state() totals.State {
	place := n.members.Self().Place
	sums := make(map[string]totals.Sum)
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
	s := totals.State{Place: place, Instances: n.members.Live(place.DataCentre)}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		s.Models = append(s.Models, sums[name])
	}
	for i, p := range s.Instances {
		s.Instances[i].Caller = n.open(p)
	}
	return s
}

func add(sums map[string]totals.Sum, name string, r directory.Report) {
	sum := sums[name]
	sum.Model = name
	sum.Copies++
	sum.Running += uint32(r.Running)
	sum.Queued += uint32(r.Queued)
	sums[name] = sum
}

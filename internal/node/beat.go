package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// demandInterval is the number of heartbeats on a stream per report of demand.
const demandInterval = 5

// sendHeartbeats sends one round: heartbeats to peers of the local data centre, totals to
// peers of others.
func (n *Node) sendHeartbeats(ctx context.Context, now time.Time) {
	n.members.update(func(v *member.View) { v.Tick(now) })
	self := readView(n.members, (*member.View).Heartbeat)
	round := n.newHeartbeatRound(now, self)
	n.links.retainOnly(readView(n.members, (*member.View).All))
	var g errgroup.Group
	for _, to := range n.members.heartbeatTargets(now) {
		g.Go(func() error {
			n.sendHeartbeat(ctx, now, to, round)
			return nil
		})
	}
	_ = g.Wait()
}

// heartbeatRound is the content of the heartbeats of one round.
type heartbeatRound struct {
	self    member.Peer
	reports []directory.Report
	common  *peerpb.BeatRequest // fields that are the same for all peers
	demand  []*peerpb.Demand
}

func (n *Node) newHeartbeatRound(now time.Time, self member.Peer) heartbeatRound {
	r := heartbeatRound{self: self, reports: n.prober.reports(), demand: n.demand.local(now)}
	r.self.Caller = n.announcedAddress(self)
	r.common = &peerpb.BeatRequest{
		Suspects: n.suspects.updates(), List: n.list.digest(), Passed: n.forwardedTotals(now), Draining: n.drains.requests(now),
		Rumours: peer.ToSuspicions(readView(n.members, (*member.View).Suspicions)),
	}
	if len(r.common.Passed)+len(r.common.Draining) > 0 {
		n.members.update((*member.View).BroadcastNextRound)
	}
	return r
}

// messageFor returns the next heartbeat of the sender's stream.
func (r heartbeatRound) messageFor(sender *beat.Sender) *peerpb.BeatRequest {
	message := peer.ToHeartbeat(sender.Next(r.self, r.reports))
	message.Suspects, message.List = r.common.Suspects, r.common.List
	message.Passed, message.Draining, message.Rumours = r.common.Passed, r.common.Draining, r.common.Rumours
	if carriesDemand(message) {
		message.Demand = r.demand
	}
	return message
}

func carriesDemand(r *peerpb.BeatRequest) bool { return r.Number%demandInterval == 1 }

func (n *Node) sendHeartbeat(ctx context.Context, now time.Time, to member.Peer, r heartbeatRound) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Peer.Beat)
	defer cancel()
	if to.Place.DataCentre != r.self.Place.DataCentre {
		n.exchangeTotals(ctx, now, to)
		return
	}
	_ = n.links.get(to.Address).send(ctx, r)
}

// announcedAddress returns the address that is announced to callers for an instance. It is
// empty for this instance as long as it is not ready.
func (n *Node) announcedAddress(p member.Peer) string {
	if p.Instance == n.members.Self().Instance && n.Ready() != nil {
		return ""
	}
	return p.Caller
}

// Beats implements peer.Handler. It also returns when the instance stops, since the stream
// itself stays open.
func (n *Node) Beats(next func() (*peerpb.BeatRequest, error)) error {
	ended := make(chan error, 1)
	n.group.Go(func() error {
		ended <- n.receiveHeartbeats(next)
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-n.lifetime.Done():
		return status.Error(codes.Unavailable, "instance is shutting down")
	}
}

// receiveHeartbeats reads heartbeats until the stream ends or a heartbeat is out of sequence.
func (n *Node) receiveHeartbeats(next func() (*peerpb.BeatRequest, error)) error {
	var receiver beat.Receiver
	for {
		r, err := next()
		if err != nil {
			return err
		}
		from, updates, err := receiver.Receive(peer.FromHeartbeat(r))
		if err != nil {
			return status.Errorf(codes.FailedPrecondition, "heartbeat %d: %v", r.Number, err)
		}
		n.applyHeartbeat(from, updates, r)
	}
}

// applyHeartbeat updates the local state from one heartbeat and the endpoint reports decoded
// from it.
func (n *Node) applyHeartbeat(from member.Peer, updates []directory.Report, r *peerpb.BeatRequest) {
	now := n.clock()
	n.members.update(func(v *member.View) {
		v.Observe(now, from)
		v.ReceiveSuspicions(peer.FromSuspicions(r.Rumours))
	})
	n.documents.ObserveRevision(from.Instance, r.Revision)
	n.suspects.merge(r.Suspects)
	for _, report := range updates {
		if e, ok := n.directory.Get(report.Endpoint); ok && !n.members.dispatches(e.Endpoint, e.Place) {
			n.directory.ApplyReport(now, report)
		}
	}
	n.drains.receive(now, r.Draining)
	if carriesDemand(r) {
		n.demand.receive(now, from.Instance, r.Demand)
	}
	n.receiveForwarded(now, from.Address, r.Passed)
	if r.List != 0 && r.List != n.list.digest() {
		n.background(func(ctx context.Context) { n.pullList(ctx, from.Address) })
	}
}

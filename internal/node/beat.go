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

// demandBeats is in how many heartbeats of a stream the demand is told once.
const demandBeats = 5

// beat sends one round of heartbeats and totals.
func (n *Node) beat(ctx context.Context, now time.Time) {
	n.members.change(func(v *member.View) { v.Tick(now) })
	self := locked(n.members, (*member.View).Heartbeat)
	r := n.round(now, self)
	n.links.keep(locked(n.members, (*member.View).All))
	var g errgroup.Group
	for _, to := range n.members.targets(now) {
		g.Go(func() error {
			n.send(ctx, now, to, r)
			return nil
		})
	}
	_ = g.Wait()
}

// round is what the heartbeats of one round tell.
type round struct {
	self    member.Peer
	reports []directory.Report
	common  *peerpb.BeatRequest // the same to all
	demand  []*peerpb.Demand
}

func (n *Node) round(now time.Time, self member.Peer) round {
	r := round{self: self, reports: n.prober.reports(), demand: n.demand.own(now)}
	r.self.Caller = n.open(self)
	r.common = &peerpb.BeatRequest{
		Suspects: n.suspects.news(), List: n.list.mark(), Passed: n.passed(now), Draining: n.drains.asked(now),
		Rumours: peer.ToSuspicions(locked(n.members, (*member.View).Suspicions)),
	}
	if len(r.common.Passed)+len(r.common.Draining) > 0 {
		n.members.change((*member.View).BroadcastNextRound)
	}
	return r
}

// to returns the next heartbeat of a stream.
func (r round) to(sender *beat.Sender) *peerpb.BeatRequest {
	message := peer.ToHeartbeat(sender.Next(r.self, r.reports))
	message.Suspects, message.List = r.common.Suspects, r.common.List
	message.Passed, message.Draining, message.Rumours = r.common.Passed, r.common.Draining, r.common.Rumours
	if tellsDemand(message) {
		message.Demand = r.demand
	}
	return message
}

func tellsDemand(r *peerpb.BeatRequest) bool { return r.Number%demandBeats == 1 }

func (n *Node) send(ctx context.Context, now time.Time, to member.Peer, r round) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Peer.Beat)
	defer cancel()
	if to.Place.DataCentre != r.self.Place.DataCentre {
		n.exchange(ctx, now, to)
		return
	}
	_ = n.links.get(to.Address).send(ctx, r)
}

// open returns the address that callers may use. An instance that is not ready
// tells none of its own.
func (n *Node) open(p member.Peer) string {
	if p.Instance == n.members.Self().Instance && n.Ready() != nil {
		return ""
	}
	return p.Caller
}

// Beats implements peer.Handler. It ends with the instance, as a stream never would.
func (n *Node) Beats(next func() (*peerpb.BeatRequest, error)) error {
	ended := make(chan error, 1)
	n.group.Go(func() error {
		ended <- n.hear(next)
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-n.lifetime.Done():
		return status.Error(codes.Unavailable, "instance stops")
	}
}

// hear reads heartbeats until the stream ends or one doesn't follow the last.
func (n *Node) hear(next func() (*peerpb.BeatRequest, error)) error {
	var receiver beat.Receiver
	for {
		r, err := next()
		if err != nil {
			return err
		}
		from, news, err := receiver.Receive(peer.FromHeartbeat(r))
		if err != nil {
			return status.Errorf(codes.FailedPrecondition, "heartbeat %d: %v", r.Number, err)
		}
		n.heard(from, news, r)
	}
}

// heard takes one heartbeat.
func (n *Node) heard(from member.Peer, news []directory.Report, r *peerpb.BeatRequest) {
	now := n.clock()
	n.members.change(func(v *member.View) {
		v.Observe(now, from)
		v.ReceiveSuspicions(peer.FromSuspicions(r.Rumours))
	})
	n.documents.Heard(from.Instance, r.Revision)
	n.suspects.merge(r.Suspects)
	for _, report := range news {
		if e, ok := n.directory.Get(report.Endpoint); ok && !n.members.dispatches(e.Endpoint, e.Place) {
			n.directory.ApplyReport(now, report)
		}
	}
	n.drains.hear(now, r.Draining)
	if tellsDemand(r) {
		n.demand.hear(now, from.Instance, r.Demand)
	}
	n.hearPassed(now, from.Address, r.Passed)
	if r.List != 0 && r.List != n.list.mark() {
		n.background(func(ctx context.Context) { n.pullList(ctx, from.Address) })
	}
}

package node

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/claim"
	"github.com/chiveramp/chiveramp/internal/claim/claimpb"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
)

// minInstancesToBatchEnds is the number of live instances from which on the end records of
// claims are batched. In a smaller fleet the store has capacity for one write per end, and
// no buffered end is lost when an instance is killed.
const minInstancesToBatchEnds = 100

// claimEndDelay returns how long the end of a claim may currently wait for its batch.
func (n *Node) claimEndDelay() time.Duration {
	if len(n.members.Live("")) < minInstancesToBatchEnds {
		return 0
	}
	return claim.DefaultBatchDelay
}

// claimEnds requests end records that are not yet written to the store from the holders of
// their claims.
type claimEnds struct{ *Node }

// Ended implements claim.Peers.
func (e claimEnds) Ended(ctx context.Context, holder, path, claim string) (once.Record, bool) {
	p, ok := e.members.get(fleet.Instance(holder))
	if !ok || p.Address == "" || p.Instance == e.members.Self().Instance {
		return once.Record{}, false
	}
	conn, err := e.client.Conn(p.Address)
	if err != nil {
		return once.Record{}, false
	}
	reply, err := claimpb.NewEndsClient(conn).Ended(ctx, &claimpb.EndedRequest{Path: path, Claim: claim})
	if err != nil || len(reply.Record) == 0 {
		return once.Record{}, false
	}
	record, err := once.Decode(reply.Record)
	return record, err == nil
}

// endsServer implements the generated service for the claims held by this instance.
type endsServer struct {
	claimpb.UnimplementedEndsServer
	node *Node
}

// Ended implements the generated service.
func (s endsServer) Ended(_ context.Context, r *claimpb.EndedRequest) (*claimpb.EndedReply, error) {
	record, ok := s.node.claims.Ended(r.Path, r.Claim)
	if !ok {
		return &claimpb.EndedReply{}, nil
	}
	raw, err := record.Encode()
	if err != nil {
		return nil, err
	}
	return &claimpb.EndedReply{Record: raw}, nil
}

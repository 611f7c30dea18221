package node

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/claim"
	"github.com/chiveramp/chiveramp/internal/claim/claimpb"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
)

// gatherFleet is the number of instances from which on ends of claims wait to be written
// together. A smaller fleet has room for a write each, and an instance that is killed
// takes no end with it.
const gatherFleet = 100

// gather returns how long the end of a claim waits now.
func (n *Node) gather() time.Duration {
	if len(n.members.Live("")) < gatherFleet {
		return 0
	}
	return claim.DefaultBatchDelay
}

// ends asks the holders of claims about ends that still wait for the store.
type ends struct{ *Node }

// Ended implements claim.Peers.
func (e ends) Ended(ctx context.Context, holder, path, claim string) (once.Record, bool) {
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

// endsServer adapts ends to the generated service.
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

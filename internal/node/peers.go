package node

import (
	"context"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// Serve implements peer.Handler. A request without an endpoint comes from another data
// centre, and its endpoint is chosen here.
func (n *Node) Serve(ctx context.Context, r peer.Request, sink peer.Sink) *peerpb.End {
	relay := r.Endpoint == ""
	return n.guard.servePeer(ctx, r.GetRequest(), sink, relay, func(ctx context.Context, sink peer.Sink) *peerpb.End {
		if relay {
			return n.gateway.Relay(ctx, r, sink)
		}
		return n.pool.Serve(ctx, r, sink)
	})
}

// Resume implements peer.Handler.
func (n *Node) Resume(ctx context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	return n.guard.servePeer(ctx, r.Request, sink, false, func(ctx context.Context, sink peer.Sink) *peerpb.End {
		return n.pool.Resume(ctx, r, sink)
	})
}

// Withdraw implements peer.Handler.
func (n *Node) Withdraw(attempt string) { n.pool.Withdraw(attempt) }

// Document implements peer.Handler.
func (n *Node) Document(_ context.Context, r *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	raw, err := n.documents.Pack(r.Revision)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "%v", err)
	}
	return &peerpb.DocumentReply{Document: raw}, nil
}

// documentPuller fetches documents from peers.
type documentPuller struct{ *Node }

// Pull implements document.Puller.
func (p documentPuller) Pull(ctx context.Context, from fleet.Instance, after uint64) (revision.Document, error) {
	if switches.Off(switches.PullDocuments) {
		return revision.Document{}, nil
	}
	source, ok := p.members.get(from)
	if !ok || source.Address == "" {
		return revision.Document{}, fmt.Errorf("pull document: unknown instance %s", from)
	}
	reply, err := p.client.Document(ctx, source.Address, after)
	if err != nil {
		return revision.Document{}, err
	}
	if len(reply.Document) == 0 {
		return revision.Document{}, nil
	}
	return p.documents.Unpack(reply.Document)
}

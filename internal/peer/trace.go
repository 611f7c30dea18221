package peer

import (
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// isDispatch limits spans to callers' requests, which heartbeats would otherwise outnumber.
func isDispatch(info *stats.RPCTagInfo) bool {
	return info.FullMethodName == peerpb.Peer_Dispatch_FullMethodName
}

// Tracing returns the server option that starts a span for each request from a peer.
func Tracing() grpc.ServerOption {
	return grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(isDispatch)))
}

package slopes

import (
	"context"
	"net"

	"google.golang.org/grpc"
)

// smallBuffer is the size of a connection's read and write buffers in the trial, in bytes.
const smallBuffer = 4 << 10

// Trials measures what a change of design would cost: connections with small buffers on both sides.
func Trials(r *Report) error {
	return measureConnections(r, "trial: small connection memory", grpc.ReadBufferSize(smallBuffer), grpc.WriteBufferSize(smallBuffer))
}

// countingDialer opens connections that are counted.
func countingDialer(w *trafficCounter) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return w.wrap(conn), nil
	}
}

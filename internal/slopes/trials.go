package slopes

import (
	"context"
	"net"

	"google.golang.org/grpc"
)

// smallBuffer is the size of the read and the write buffer of a connection in the trial.
const smallBuffer = 4 << 10

// Trials measures the costs after a design change: connections with small buffers on both
// sides.
func Trials(r *Report) error {
	return measureConnections(r, "trial: small connection memory", grpc.ReadBufferSize(smallBuffer), grpc.WriteBufferSize(smallBuffer))
}

// countingDialer returns a dialer whose connections count their traffic.
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

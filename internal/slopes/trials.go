package slopes

import (
	"context"
	"fmt"
	"io"
	"net"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// smallBuffer is the size of a connection's read and write buffers in the trial, in bytes.
const smallBuffer = 4 << 10

// Trials measures what the changes of design would cost: heartbeats on an open stream
// instead of a call each, loads that name their endpoint by its row in the list, and
// connections with small buffers.
func Trials(r *Report) error {
	if err := streamTrial(r); err != nil {
		return err
	}
	compact := Series{Name: "trial: compact loads bytes", By: "loads", Unit: "B"}
	for _, n := range []int{0, 8, 16, 32, 64} {
		b := &peerpb.BeatRequest{Sequence: 100000, Revision: 9000, List: 1}
		for i := range n {
			b.Loads = append(b.Loads, &peerpb.Load{Running: 12, Queued: 3, Wait: 240, Serial: uint64(300 + i)})
		}
		compact.Points = append(compact.Points, Point{float64(n), float64(proto.Size(b))})
	}
	r.Add(compact)
	return connectionTrial(r)
}

// sink reads a submitted body to its end and tells of each piece.
type sink struct {
	peer.Handler
	got chan struct{}
}

// Serve implements peer.Handler.
func (s sink) Serve(_ context.Context, r peer.Request, _ peer.Sink) *peerpb.End {
	piece := make([]byte, smallBuffer)
	for {
		if _, err := r.Body.Read(piece); err != nil {
			return &peerpb.End{}
		}
		s.got <- struct{}{}
	}
}

// streamTrial sends messages of several sizes over one open stream, each when the one
// before has arrived.
func streamTrial(r *Report) error {
	bytes := Series{Name: "trial: stream message bytes", By: "payload bytes", Unit: "B"}
	cpu := Series{Name: "trial: stream message cpu", By: "payload bytes", Unit: "ns"}
	for _, size := range []int{32, 128, 512, 1024} {
		cost, each, err := streamOf(size)
		if err != nil {
			return fmt.Errorf("stream messages of %d bytes: %w", size, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(size), each})
		cpu.Points = append(cpu.Points, Point{float64(size), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

func streamOf(size int) (cpu, each float64, err error) {
	got := make(chan struct{})
	m, err := newMesh(1, sink{got: got})
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		_, err := m.client.Serve(context.Background(), m.addresses[0], peer.Request{Submit: &peerpb.Submit{}, Body: reader}, nil)
		return err
	})
	message, count := make([]byte, size), 0
	if _, err := writer.Write(message); err != nil {
		return 0, 0, err
	}
	<-got
	before := m.wire.total()
	cpu = cpuOf(func() {
		count++
		_, _ = writer.Write(message)
		<-got
	})
	each = (m.wire.total() - before) / float64(count)
	if err := writer.Close(); err != nil {
		return 0, 0, err
	}
	return cpu, each, group.Wait()
}

// connectionTrial measures connections with small buffers on both sides.
func connectionTrial(r *Report) error {
	memory := Series{Name: "trial: small connection memory", By: "peers", Unit: "B"}
	for _, peers := range []int{8, 16, 38} {
		var failed error
		var m *meshOf
		cost := memoryOf(func() *meshOf {
			m, failed = newMesh(peers, silent{},
				grpc.ReadBufferSize(smallBuffer), grpc.WriteBufferSize(smallBuffer))
			return m
		})
		if failed != nil {
			return fmt.Errorf("connect %d peers: %w", peers, failed)
		}
		memory.Points = append(memory.Points, Point{float64(peers), cost})
		m.close()
	}
	r.Add(memory)
	return nil
}

// dialer opens connections that are counted.
func dialer(w *wire) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return w.wrap(conn), nil
	}
}

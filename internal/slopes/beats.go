package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// silent answers heartbeats and nothing else.
type silent struct {
	peer.Handler
}

// Beat implements peer.Handler.
func (silent) Beat(context.Context, *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return &peerpb.BeatReply{Instance: "entry-00-001", Incarnation: peerOf(1, 0).Incarnation, Revision: 9}, nil
}

// meshOf is one end of a mesh: connections to n peers, which the same process serves.
type meshOf struct {
	client    *peer.Client
	addresses []string
	wire      *wire
	server    *grpc.Server
	group     *errgroup.Group
}

func newMesh(n int, h peer.Handler, opts ...grpc.ServerOption) (*meshOf, error) {
	m := &meshOf{wire: &wire{}, server: grpc.NewServer(opts...), group: &errgroup.Group{}}
	peer.Register(m.server, h)
	for range n {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		m.addresses = append(m.addresses, listener.Addr().String())
		m.group.Go(func() error { return m.server.Serve(listener) })
	}
	dial := []grpc.DialOption{grpc.WithContextDialer(dialer(m.wire))}
	if len(opts) > 0 {
		dial = append(dial, grpc.WithReadBufferSize(smallBuffer), grpc.WithWriteBufferSize(smallBuffer))
	}
	m.client = peer.NewClient(peer.WithDialOptions(dial...))
	if _, beats := h.(silent); !beats {
		return m, nil
	}
	return m, m.round(beatOf(0))
}

// round sends one heartbeat to every peer.
func (m *meshOf) round(beat *peerpb.BeatRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var group errgroup.Group
	for _, address := range m.addresses {
		group.Go(func() error {
			_, err := m.client.Beat(ctx, address, beat)
			return err
		})
	}
	return group.Wait()
}

func (m *meshOf) close() {
	_ = m.client.Close()
	m.server.Stop()
	_ = m.group.Wait()
}

// beatOf is a heartbeat with the loads of n endpoints, as they change every round.
func beatOf(loads int) *peerpb.BeatRequest {
	p := peerOf(1, 0)
	b := &peerpb.BeatRequest{
		Instance: string(p.Instance), Region: string(p.Place.Region), Datacentre: string(p.Place.DataCentre),
		Incarnation: p.Incarnation, Peer: p.Address, Caller: p.Caller, Sequence: 100000, Revision: 9000,
	}
	for i := range loads {
		b.Loads = append(b.Loads, &peerpb.Load{
			Endpoint: fmt.Sprintf("runner-00-%04d", i), Running: 12, Queued: 3, Wait: 240, Serial: 7,
			Incarnation: fmt.Sprintf("%08x", i),
		})
	}
	return b
}

// Beats measures heartbeats over real connections: both ends stand in this process, as
// each instance is both.
func Beats(r *Report) error {
	bytes := Series{Name: "beat bytes", By: "loads", Unit: "B"}
	cpu := Series{Name: "beat cpu", By: "loads", Unit: "ns"}
	const peers = 8
	m, err := newMesh(peers, silent{})
	if err != nil {
		return err
	}
	defer m.close()
	for _, loads := range []int{0, 8, 16, 32, 64} {
		beat := beatOf(loads)
		var failed error
		before, rounds := m.wire.total(), 0
		cost := cpuOf(func() {
			if err := m.round(beat); err != nil {
				failed = err
			}
			rounds++
		})
		if failed != nil {
			return fmt.Errorf("beat with %d loads: %w", loads, failed)
		}
		each := float64(rounds * peers)
		bytes.Points = append(bytes.Points, Point{float64(loads), (m.wire.total() - before) / each})
		cpu.Points = append(cpu.Points, Point{float64(loads), cost / peers})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

// Connections measures the memory of a connection to a peer and one from it.
func Connections(r *Report) error {
	memory := Series{Name: "connection memory", By: "peers", Unit: "B"}
	for _, peers := range []int{8, 16, 38} {
		var failed error
		var m *meshOf
		cost := memoryOf(func() *meshOf {
			m, failed = newMesh(peers, silent{})
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

package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// silent takes heartbeats and tells of each.
type silent struct {
	peer.Handler
	got chan struct{}
}

func newSilent() silent { return silent{got: make(chan struct{}, 64)} }

// Beats implements peer.Handler.
func (s silent) Beats(next func() (*peerpb.BeatRequest, error)) error {
	var receiver beat.Receiver
	for {
		r, err := next()
		if err != nil {
			return err
		}
		if _, _, err := receiver.Receive(peer.FromHeartbeat(r)); err != nil {
			return err
		}
		s.got <- struct{}{}
	}
}

// meshOf is one end of a mesh: connections to n peers, which the same process serves.
type meshOf struct {
	client    *peer.Client
	addresses []string
	streams   []*peer.HeartbeatStream
	senders   []*beat.Sender
	wire      *wire
	server    *grpc.Server
	group     *errgroup.Group
	handler   peer.Handler
}

func newMesh(n int, h peer.Handler, opts ...grpc.ServerOption) (*meshOf, error) {
	m := &meshOf{wire: &wire{}, server: peer.NewServer(opts...), group: &errgroup.Group{}, handler: h}
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
	return m, nil
}

// beating returns a mesh with an open stream of heartbeats to each peer.
func beating(n int, opts ...grpc.ServerOption) (*meshOf, error) {
	s := newSilent()
	m, err := newMesh(n, s, opts...)
	if err != nil {
		return nil, err
	}
	for _, address := range m.addresses {
		stream, err := m.client.OpenHeartbeats(context.Background(), address)
		if err != nil {
			return nil, err
		}
		m.streams, m.senders = append(m.streams, stream), append(m.senders, beat.NewSender())
	}
	return m, m.round(s, reports(0, 0))
}

// round sends one heartbeat to every peer and waits until all have it.
func (m *meshOf) round(s silent, reports []directory.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i, stream := range m.streams {
		request := peer.ToHeartbeat(m.senders[i].Next(peerOf(1, 0), reports))
		request.List = 1764800000000
		if request.Number%demandBeats == 1 {
			request.Demand = demandOf(len(reports))
		}
		if err := stream.Send(ctx, request); err != nil {
			return err
		}
	}
	for range m.streams {
		<-s.got
	}
	return nil
}

func (m *meshOf) close() {
	for _, stream := range m.streams {
		stream.Close()
	}
	_ = m.client.Close()
	m.server.Stop()
	_ = m.group.Wait()
}

// demandBeats is in how many heartbeats the demand is told once, as in the node.
const demandBeats = 5

// reports are the loads of n endpoints, all changed in each round.
func reports(n, round int) []directory.Report {
	list := make([]directory.Report, 0, n)
	for i := range n {
		list = append(list, directory.Report{
			Endpoint: fleet.Endpoint(fmt.Sprintf("runner-00-%04d", i)), Running: 1 + (round+i)%12, Queued: 3,
			PredictedWait: 240 * time.Millisecond, Serial: 7, Incarnation: fmt.Sprintf("%08x", i),
			Models: []fleet.Model{fleet.Model(fmt.Sprintf("model-%03d@1", i)), fleet.Model(fmt.Sprintf("model-%03d@2", i))},
		})
	}
	return list
}

// demandOf is the demand of an instance for the models of n endpoints.
func demandOf(n int) []*peerpb.Demand {
	list := make([]*peerpb.Demand, 0, n)
	for i := range n {
		list = append(list, &peerpb.Demand{Model: fmt.Sprintf("model-%03d@1", i), Fast: 430, Slow: 380})
	}
	return list
}

// Beats measures heartbeats over real connections: both ends stand in this process, as
// each instance is both.
func Beats(r *Report) error {
	bytes := Series{Name: "beat bytes", By: "loads", Unit: "B"}
	cpu := Series{Name: "beat cpu", By: "loads", Unit: "ns"}
	for _, loads := range []int{0, 8, 16, 32, 64} {
		cost, each, err := beatsOf(loads)
		if err != nil {
			return fmt.Errorf("beat with %d loads: %w", loads, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(loads), each})
		cpu.Points = append(cpu.Points, Point{float64(loads), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

func beatsOf(loads int) (cpu, each float64, err error) {
	const peers = 8
	m, err := beating(peers)
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	s := m.handler.(silent)
	if err := m.round(s, reports(loads, 0)); err != nil { // names and models, told once
		return 0, 0, err
	}
	var failed error
	before, rounds := m.wire.total(), 0
	cost := cpuOf(func() {
		rounds++
		if err := m.round(s, reports(loads, rounds)); err != nil {
			failed = err
		}
	})
	return cost / peers, (m.wire.total() - before) / float64(rounds*peers), failed
}

// Connections measures the memory of a connection to a peer and one from it.
func Connections(r *Report) error { return connections(r, "connection memory") }

func connections(r *Report, name string, opts ...grpc.ServerOption) error {
	memory := Series{Name: name, By: "peers", Unit: "B"}
	for _, peers := range []int{8, 16, 38} {
		var failed error
		var m *meshOf
		cost := memoryOf(func() *meshOf {
			m, failed = beating(peers, opts...)
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

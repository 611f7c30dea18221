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

// heartbeatHandler receives heartbeats and signals each one on a channel.
type heartbeatHandler struct {
	peer.Handler
	received chan struct{}
}

func newHeartbeatHandler() heartbeatHandler {
	return heartbeatHandler{received: make(chan struct{}, 64)}
}

// Beats implements peer.Handler.
func (h heartbeatHandler) Beats(next func() (*peerpb.BeatRequest, error)) error {
	var receiver beat.Receiver
	for {
		r, err := next()
		if err != nil {
			return err
		}
		if _, _, err := receiver.Receive(peer.FromHeartbeat(r)); err != nil {
			return err
		}
		h.received <- struct{}{}
	}
}

// mesh holds the connections of one instance to n peers, all served by the same process.
type mesh struct {
	client    *peer.Client
	addresses []string
	streams   []*peer.HeartbeatStream
	senders   []*beat.Sender
	traffic   *trafficCounter
	server    *grpc.Server
	group     *errgroup.Group
	handler   peer.Handler
}

func newMesh(n int, h peer.Handler, opts ...grpc.ServerOption) (*mesh, error) {
	m := &mesh{traffic: &trafficCounter{}, server: peer.NewServer(opts...), group: &errgroup.Group{}, handler: h}
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
	dial := []grpc.DialOption{grpc.WithContextDialer(countingDialer(m.traffic))}
	if len(opts) > 0 {
		dial = append(dial, grpc.WithReadBufferSize(smallBuffer), grpc.WithWriteBufferSize(smallBuffer))
	}
	m.client = peer.NewClient(peer.WithDialOptions(dial...))
	return m, nil
}

// newHeartbeatMesh returns a mesh with an open heartbeat stream to each peer.
func newHeartbeatMesh(n int, opts ...grpc.ServerOption) (*mesh, error) {
	s := newHeartbeatHandler()
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
	return m, m.sendRound(s, loadReports(0, 0))
}

// sendRound sends one heartbeat to every peer and waits until all are received.
func (m *mesh) sendRound(s heartbeatHandler, reports []directory.Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i, stream := range m.streams {
		request := peer.ToHeartbeat(m.senders[i].Next(peerOf(1, 0), reports))
		request.List = 1764800000000
		if request.Number%heartbeatsPerDemand == 1 {
			request.Demand = demandForModels(len(reports))
		}
		if err := stream.Send(ctx, request); err != nil {
			return err
		}
	}
	for range m.streams {
		<-s.received
	}
	return nil
}

func (m *mesh) close() {
	for _, stream := range m.streams {
		stream.Close()
	}
	_ = m.client.Close()
	m.server.Stop()
	_ = m.group.Wait()
}

// heartbeatsPerDemand is the number of heartbeats of which one carries the demand, as in an
// instance.
const heartbeatsPerDemand = 5

// loadReports returns the loads of n endpoints, all of which change in each round.
func loadReports(n, round int) []directory.Report {
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

// demandForModels returns the demand of an instance for the models of n endpoints.
func demandForModels(n int) []*peerpb.Demand {
	list := make([]*peerpb.Demand, 0, n)
	for i := range n {
		list = append(list, &peerpb.Demand{Model: fmt.Sprintf("model-%03d@1", i), Fast: 430, Slow: 380})
	}
	return list
}

// Heartbeats measures heartbeats over real connections. Sender and receiver run in this
// process, since each instance is both.
func Heartbeats(r *Report) error {
	bytes := Series{Name: "heartbeat bytes", By: "loads", Unit: "B"}
	cpu := Series{Name: "heartbeat cpu", By: "loads", Unit: "ns"}
	for _, loads := range []int{0, 8, 16, 32, 64} {
		cost, size, err := measureHeartbeats(loads)
		if err != nil {
			return fmt.Errorf("heartbeat with %d loads: %w", loads, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(loads), size})
		cpu.Points = append(cpu.Points, Point{float64(loads), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

func measureHeartbeats(loads int) (cpu, size float64, err error) {
	const peers = 8
	m, err := newHeartbeatMesh(peers)
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	s := m.handler.(heartbeatHandler)
	if err := m.sendRound(s, loadReports(loads, 0)); err != nil { // names and models are sent only once
		return 0, 0, err
	}
	var failed error
	before, rounds := m.traffic.totalBytes(), 0
	cost := cpuOf(func() {
		rounds++
		if err := m.sendRound(s, loadReports(loads, rounds)); err != nil {
			failed = err
		}
	})
	return cost / peers, (m.traffic.totalBytes() - before) / float64(rounds*peers), failed
}

// Connections measures the memory of a connection to a peer together with one from it.
func Connections(r *Report) error { return measureConnections(r, "connection memory") }

func measureConnections(r *Report, name string, opts ...grpc.ServerOption) error {
	memory := Series{Name: name, By: "peers", Unit: "B"}
	for _, peers := range []int{8, 16, 38} {
		var failed error
		var m *mesh
		cost := memoryOf(func() *mesh {
			m, failed = newHeartbeatMesh(peers, opts...)
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

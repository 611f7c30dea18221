package slopes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/endpoint"
)

// cannedServer answers every request with the same bytes. Its own CPU time is negligible,
// so that the measurement shows the cost of the client.
type cannedServer struct {
	listener net.Listener
	traffic  trafficCounter
	answer   []byte
	group    errgroup.Group
}

func newCannedServer(body []byte) (*cannedServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	c := &cannedServer{listener: listener, answer: append([]byte(head), body...)}
	c.group.Go(c.accept)
	return c, nil
}

func (c *cannedServer) accept() error {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return nil // closed
		}
		c.group.Go(func() error {
			c.serve(c.traffic.wrap(conn))
			return nil
		})
	}
}

func (c *cannedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		if _, err := conn.Write(c.answer); err != nil {
			return
		}
	}
}

// Probes measures the cost of a state probe of an endpoint for the endpoint's dispatcher.
func Probes(r *Report) error {
	bytes := Series{Name: "probe bytes", By: "resident models", Unit: "B"}
	cpu := Series{Name: "probe cpu", By: "resident models", Unit: "ns"}
	for _, n := range []int{1, 4, 8, 16} {
		cost, size, err := measureProbe(n)
		if err != nil {
			return fmt.Errorf("probe with %d models: %w", n, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(n), size})
		cpu.Points = append(cpu.Points, Point{float64(n), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

func measureProbe(models int) (cpu, size float64, err error) {
	state := endpoint.State{Incarnation: "0a1b2c3d", Fence: 12, ChecksFence: true, Memory: 80 * gib, Used: 70 * gib, KV: 4 * gib}
	for i := range models {
		state.Models = append(state.Models, endpoint.Resident{Model: modelsOn(i)[0], State: endpoint.ResidentReady})
	}
	body, err := json.Marshal(state)
	if err != nil {
		return 0, 0, fmt.Errorf("encode state: %w", err)
	}
	server, err := newCannedServer(body)
	if err != nil {
		return 0, 0, err
	}
	client := endpoint.New()
	count := 0
	cpu = cpuOf(func() {
		count++
		if _, failed := client.State(context.Background(), server.listener.Addr().String()); failed != nil {
			err = failed
		}
	})
	size = server.traffic.totalBytes() / float64(count)
	client.Close()
	_ = server.listener.Close()
	return cpu, size, err
}

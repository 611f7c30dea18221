package ingress

import (
	"net"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/intake"
	"github.com/chiveramp/chiveramp/internal/tcp"
)

// standingUserTimeout is how long bytes may stay unacknowledged. gRPC servers set it, but on TCP connections only.
const standingUserTimeout = 20 * time.Second

// standingConn is a connection of another protocol, whose bytes are passed on as they come.
type standingConn struct {
	net.Conn
	conn *conn
}

func newStandingConn(c *conn) *standingConn {
	_ = tcp.SetUserTimeout(c.Conn, standingUserTimeout) // the connection works without it
	return &standingConn{Conn: c.Conn, conn: c}
}

// Read implements net.Conn.
func (s *standingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.conn.gate.enter(s.conn, intake.PhaseStanding)
	}
	return n, err
}

// Close implements net.Conn.
func (s *standingConn) Close() error { return s.conn.shut() }

// Package drain stops HTTP servers without dropping requests.
package drain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionTime is how long a connection that has sent no request counts as about to.
	newConnectionTime = time.Second
	// acceptTime is how long a connection accepted before its listener was closed may take to be
	// passed to the server.
	acceptTime = 100 * time.Millisecond
	// stopCheckInterval is how often a server that stops is checked for busy connections.
	stopCheckInterval = 20 * time.Millisecond
)

// Connections are the connections of a server on which a request runs or is about to. It is
// safe for concurrent use.
type Connections struct {
	mu    sync.Mutex
	conns map[net.Conn]connection
}

type connection struct {
	state http.ConnState
	since time.Time
}

// Observe records the state of a connection. It is an http.Server's ConnState.
func (c *Connections) Observe(conn net.Conn, state http.ConnState) {
	c.record(time.Now(), conn, state)
}

func (c *Connections) record(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew && state != http.StateActive {
		delete(c.conns, conn)
		return
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]connection)
	}
	c.conns[conn] = connection{state, now}
}

// busy reports whether a request runs or is about to.
func (c *Connections) busy(now time.Time) bool { return c.Count(now) > 0 }

// Count returns on how many connections a request runs or is about to.
func (c *Connections) Count(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := 0
	for _, conn := range c.conns {
		if conn.state == http.StateActive || now.Sub(conn.since) < newConnectionTime {
			busy++
		}
	}
	return busy
}

// Stop stops accepting connections, and stops the server once no request runs. Then, or at the end of serving,
// refuseNew has the handler refuse all requests that come later: Server.Shutdown alone drops requests that it
// reads after it was called, without an answer. Those that came before may end until the end of serving, when
// lastAnswers has the handler answer all that have no answer yet. Answers have until the end of closing to be
// written, while idle connections are closed.
func Stop(serving, closing context.Context, l net.Listener, s *http.Server, c *Connections, refuseNew, lastAnswers func()) error {
	err := l.Close()
	sleep(serving, acceptTime)
	c.awaitIdle(serving)
	refuseNew()
	c.awaitIdle(serving)
	lastAnswers()
	s.SetKeepAlivesEnabled(false) // closes idle connections: a request that is sent later is refused anyway
	c.awaitIdle(closing)
	if err != nil {
		err = fmt.Errorf("close listener: %w", err)
	}
	return errors.Join(err, s.Shutdown(closing))
}

// awaitIdle waits until no request runs or is about to.
func (c *Connections) awaitIdle(ctx context.Context) {
	for c.busy(time.Now()) && ctx.Err() == nil {
		sleep(ctx, stopCheckInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is the way of one instance to the store. Once it is silent, nothing passes it, in either direction: the store
// gives the instance no response.
type proxy struct {
	address string
	silent  atomic.Bool
	mu      sync.Mutex
	watched time.Time // when the instance last called a watch
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String()}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(near, to)
		}
	}()
	return p, nil
}

func (p *proxy) pass(near net.Conn, to string) {
	far, err := net.Dial("tcp", to)
	if err != nil {
		_ = near.Close()
		return
	}
	go p.copy(near, far, func([]byte) {})
	p.copy(far, near, func(text []byte) {
		if bytes.Contains(text, []byte("GET /kv-watch")) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.watched = time.Now()
		}
	})
}

func (p *proxy) copy(to, from net.Conn, see func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			_, _ = io.Copy(io.Discard, from) // until the instance gives up
			_ = to.Close()
			return
		}
		see(buffer[:n])
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// watches reports whether the instance watches the store.
func (p *proxy) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.watched) < 1500*time.Millisecond
}

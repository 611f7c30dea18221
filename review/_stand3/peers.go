package main

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"

	"golang.org/x/net/http2"
)

// partConns is how many clients come at the peers' address, partCalls how many calls each of them makes.
const partConns, partCalls = 10, 10

// shortMessage is a gRPC message of the largest size of a body that stops one byte short of its end.
type shortMessage struct {
	prefix []byte
	left   int
	done   <-chan struct{}
}

func newShortMessage(done <-chan struct{}) *shortMessage {
	return &shortMessage{prefix: binary.BigEndian.AppendUint32([]byte{0}, bodyLimit), left: bodyLimit - 1, done: done}
}

// Read implements io.Reader.
func (m *shortMessage) Read(b []byte) (int, error) {
	if len(m.prefix) > 0 {
		n := copy(b, m.prefix)
		m.prefix = m.prefix[n:]
		return n, nil
	}
	if m.left == 0 {
		<-m.done
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(b), m.left)
	m.left -= n
	return n, nil
}

// peers has clients come at the peers' address whose messages stop short of their end. The site's machines have 284 MB.
func peers() {
	bear(284<<10, func(n *instance) (leave func()) {
		note("%d clients come at the peers' address: each makes %d calls with a message of 4 MiB, which stops one byte short of its end", partConns, partCalls)
		ctx, cancel := context.WithCancel(context.Background())
		for range partConns {
			client := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, address)
			}}
			for range partCalls {
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.peer+"/chiveramp.gossip.v1.Gossip/Beat", newShortMessage(ctx.Done()))
				if err != nil {
					fail("request: %v", err)
				}
				request.Header.Set("Content-Type", "application/grpc")
				request.Header.Set("TE", "trailers")
				go func() {
					if response, err := client.RoundTrip(request); err == nil {
						_ = response.Body.Close()
					}
				}()
			}
		}
		return cancel
	})
}

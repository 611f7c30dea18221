package node

import (
	"google.golang.org/grpc/credentials"

	"github.com/chiveramp/chiveramp/internal/certs"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// peerCredentials are the transport credentials of both sides of a peer connection.
type peerCredentials struct {
	server credentials.TransportCredentials
	client credentials.TransportCredentials
}

func newPeerCredentials(c config.TLS) (peerCredentials, error) {
	server, err := certs.PeerServer(c)
	if err != nil {
		return peerCredentials{}, err
	}
	client, err := certs.PeerClient(c)
	return peerCredentials{server: server, client: client}, err
}

package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/chiveramp/chiveramp/internal/ingress"
	"github.com/chiveramp/chiveramp/internal/operator"
)

// operatorConnections is the maximum number of concurrent operator connections.
const operatorConnections = 64

// backend implements operator.Backend on a node. It is a separate type since the interfaces
// for callers, peers and operators have methods of the same names.
type backend struct{ *Node }

// Profiles implements operator.Backend.
func (b backend) Profiles(ctx context.Context) ([]operator.ProfileReport, error) {
	return b.profileReports(ctx), nil
}

func (n *Node) serveOperators(l net.Listener) *http.Server {
	if l == nil {
		return &http.Server{ReadHeaderTimeout: headerTimeout}
	}
	options := []operator.Option{operator.WithKeys(n.credentials.findKey), operator.WithLogger(n.logger)}
	if token := n.config.Operator.Token; token != "" {
		options = append(options, operator.WithToken(token))
	}
	handler := operator.NewServer(backend{n}, options...)
	server := operator.NewHTTPServer(n.config.Operator.Listen, n.credentials.operator.Server(), handler)
	if server.TLSConfig != nil {
		l = tls.NewListener(l, server.TLSConfig) // below the gate, which reads heads
	}
	l = n.ingress.Guard(server, l, ingress.Side{Name: "operators", Share: operatorsShare, Connections: operatorConnections})
	n.group.Go(func() error { return serveError("operators", server.Serve(l)) })
	return server
}

// errDrained is the cause of the shutdown when an operator requested a drain.
var errDrained = errors.New("drained by an operator")

func (n *Node) startShutdown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shutdown != nil {
		n.shutdown(errDrained)
	}
}

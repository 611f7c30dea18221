// Package certs builds TLS settings and gRPC credentials from the certificate
// files that the settings name.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chiveramp/chiveramp/pkg/config"
)

// PeerName is the DNS name that every instance's certificate must carry. Instances
// are replaced at any time, so the name stands for the role, not for the machine.
const PeerName = "peer.chiveramp"

// ErrNotPeer is the error for a certificate that is valid but not an instance's.
var ErrNotPeer = errors.New("certificate is not an instance's")

// PeerServer returns the credentials of a gRPC server for other instances. With
// certificates, both sides show one that the CA signed for PeerName.
func PeerServer(c config.TLS) (credentials.TransportCredentials, error) {
	if !c.Enabled() {
		return insecure.NewCredentials(), nil
	}
	t, pool, err := load(c)
	if err != nil {
		return nil, fmt.Errorf("peer server TLS: %w", err)
	}
	t.ClientAuth = tls.RequireAndVerifyClientCert
	t.ClientCAs = pool
	t.VerifyConnection = verifyPeer
	return credentials.NewTLS(t), nil
}

// PeerClient returns the credentials for calls to other instances.
func PeerClient(c config.TLS) (credentials.TransportCredentials, error) {
	if !c.Enabled() {
		return insecure.NewCredentials(), nil
	}
	t, pool, err := load(c)
	if err != nil {
		return nil, fmt.Errorf("peer client TLS: %w", err)
	}
	t.RootCAs = pool
	t.ServerName = PeerName
	return credentials.NewTLS(t), nil
}

// Server returns the TLS settings of an HTTP server, nil without certificates.
// With a CA, clients must show a certificate that it signed.
func Server(c config.TLS) (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	t, pool, err := load(c)
	if err != nil {
		return nil, fmt.Errorf("server TLS: %w", err)
	}
	if pool != nil {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = pool
	}
	return t, nil
}

// Client returns the TLS settings of an HTTP client, nil when no file is named.
// Without a CA the machine's own roots count.
func Client(c config.TLS) (*tls.Config, error) {
	if !c.Enabled() && c.CA == "" {
		return nil, nil
	}
	t, pool, err := load(c)
	if err != nil {
		return nil, fmt.Errorf("client TLS: %w", err)
	}
	t.RootCAs = pool
	return t, nil
}

func load(c config.TLS) (*tls.Config, *x509.CertPool, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.Enabled() {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, nil, fmt.Errorf("certificate %s with key %s: %w", c.Cert, c.Key, err)
		}
		t.Certificates = []tls.Certificate{pair}
	}
	if c.CA == "" {
		return t, nil, nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("CA %s: no certificate in PEM form", c.CA)
	}
	return t, pool, nil
}

func verifyPeer(s tls.ConnectionState) error {
	if err := s.PeerCertificates[0].VerifyHostname(PeerName); err != nil {
		return fmt.Errorf("%w: %w", ErrNotPeer, err)
	}
	return nil
}

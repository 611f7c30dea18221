// Package certs builds TLS settings and gRPC credentials from the certificate
// files that the settings name, and takes renewed files while the process runs.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// PeerName is the DNS name that every instance's certificate must carry. Instances
// are replaced at any time, so the name stands for the role, not for the machine.
const PeerName = "peer.chiveramp"

// ErrNotPeer is the error for a certificate that is valid but not an instance's.
var ErrNotPeer = errors.New("certificate is not an instance's")

// Keeper holds the certificates of one listener or client, and takes renewed ones from
// the same files while the process runs. Without certificates nothing is encrypted.
type Keeper struct {
	value *reload.Value[material] // nil without certificates
}

// material is what the files hold.
type material struct {
	pair tls.Certificate
	pool *x509.CertPool // nil without a CA
}

// Open reads the certificates that the settings name.
func Open(c config.TLS) (*Keeper, error) {
	if !c.Enabled() {
		return &Keeper{}, nil
	}
	paths := []string{c.Cert, c.Key}
	if c.CA != "" {
		paths = append(paths, c.CA)
	}
	value, err := reload.New(paths, func() (material, error) { return loadMaterial(c) })
	if err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	return &Keeper{value: value}, nil
}

// Check takes renewed certificates, if the files have any. Connections that are open
// keep theirs. While the files can't be used it returns why, and the old ones stay.
func (k *Keeper) Check() (changed bool, err error) {
	if k.value == nil {
		return false, nil
	}
	changed, err = k.value.Check()
	if err != nil {
		return changed, fmt.Errorf("TLS: %w", err)
	}
	return changed, nil
}

// Err returns why the files as they were last read are not in use, nil when they are.
func (k *Keeper) Err() error {
	if k.value == nil {
		return nil
	}
	return k.value.Err()
}

// Expires returns when the certificate in use ends, zero without one.
func (k *Keeper) Expires() time.Time {
	if k.value == nil {
		return time.Time{}
	}
	return k.value.Get().pair.Leaf.NotAfter
}

// PeerServer returns the credentials of a gRPC server for other instances. With
// certificates, both sides show one that the CA signed for PeerName.
func (k *Keeper) PeerServer() credentials.TransportCredentials {
	if k.value == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(perConnection(func() *tls.Config {
		t := k.server()
		t.NextProtos = []string{"h2"}
		t.VerifyConnection = verifyPeer
		return t
	}))
}

// PeerClient returns the credentials for calls to other instances.
func (k *Keeper) PeerClient() credentials.TransportCredentials {
	if k.value == nil {
		return insecure.NewCredentials()
	}
	return renewing{TransportCredentials: credentials.NewTLS(k.peerClient()), keeper: k}
}

// renewing makes each new connection with the certificates of its time.
type renewing struct {
	credentials.TransportCredentials
	keeper *Keeper
}

// ClientHandshake implements credentials.TransportCredentials.
func (r renewing) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.keeper.peerClient()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (r renewing) Clone() credentials.TransportCredentials {
	return renewing{TransportCredentials: r.TransportCredentials.Clone(), keeper: r.keeper}
}

func (k *Keeper) peerClient() *tls.Config {
	m := k.value.Get()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.pair}, RootCAs: m.pool, ServerName: PeerName,
	}
}

// Server returns the TLS settings of an HTTP server, nil without certificates.
// With a CA, clients must show a certificate that it signed.
func (k *Keeper) Server() *tls.Config {
	if k.value == nil {
		return nil
	}
	return perConnection(func() *tls.Config {
		t := k.server()
		t.NextProtos = []string{"h2", "http/1.1"}
		return t
	})
}

// perConnection returns settings that are made anew for each connection, so that each
// is checked against the CA of its time.
func perConnection(settings func() *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return settings(), nil },
	}
}

func (k *Keeper) server() *tls.Config {
	m := k.value.Get()
	t := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.pair}, SessionTicketsDisabled: true}
	if m.pool != nil {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = m.pool
	}
	return t
}

func loadMaterial(c config.TLS) (material, error) {
	t, pool, err := load(c)
	if err != nil {
		return material{}, err
	}
	return material{pair: t.Certificates[0], pool: pool}, nil
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

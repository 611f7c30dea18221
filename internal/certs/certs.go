// Package certs builds TLS configurations and gRPC credentials from the certificate files
// named in the settings, and reloads renewed files while the process runs.
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

// PeerName is the DNS name that every instance's certificate must contain. Instances can be
// replaced at any time, so the name identifies the role, not the machine.
const PeerName = "peer.chiveramp"

// ErrNotPeer means that a certificate is valid but does not belong to an instance.
var ErrNotPeer = errors.New("certificate does not belong to an instance")

// Reloader holds the certificates of one listener or client, and reloads them from the same
// files while the process runs. Without certificates nothing is encrypted.
type Reloader struct {
	loaded *reload.Value[keyMaterial] // nil without certificates
}

// keyMaterial is the content of the files.
type keyMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool // nil without a CA
}

// Open reads the certificates that the settings name.
func Open(c config.TLS) (*Reloader, error) {
	if !c.Enabled() {
		return &Reloader{}, nil
	}
	paths := []string{c.Cert, c.Key}
	if c.CA != "" {
		paths = append(paths, c.CA)
	}
	loaded, err := reload.New(paths, func() (keyMaterial, error) { return loadKeyMaterial(c) })
	if err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	return &Reloader{loaded: loaded}, nil
}

// Check reloads the certificates if the files have changed. Open connections keep theirs. If
// the files can't be used it returns the reason, and the old certificates stay in use.
func (r *Reloader) Check() (changed bool, err error) {
	if r.loaded == nil {
		return false, nil
	}
	changed, err = r.loaded.Check()
	if err != nil {
		return changed, fmt.Errorf("TLS: %w", err)
	}
	return changed, nil
}

// Err returns why the files as last read are not in use, or nil if they are.
func (r *Reloader) Err() error {
	if r.loaded == nil {
		return nil
	}
	return r.loaded.Err()
}

// Expires returns when the certificate in use expires, zero without one.
func (r *Reloader) Expires() time.Time {
	if r.loaded == nil {
		return time.Time{}
	}
	return r.loaded.Get().cert.Leaf.NotAfter
}

// PeerServer returns the credentials of a gRPC server for other instances. If certificates
// are set, both sides must present one that the CA signed for PeerName.
func (r *Reloader) PeerServer() credentials.TransportCredentials {
	if r.loaded == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(configPerConnection(func() *tls.Config {
		t := r.serverConfig()
		t.NextProtos = []string{"h2"}
		t.VerifyConnection = verifyPeer
		return t
	}))
}

// PeerClient returns the credentials for calls to other instances.
func (r *Reloader) PeerClient() credentials.TransportCredentials {
	if r.loaded == nil {
		return insecure.NewCredentials()
	}
	return reloadingCredentials{TransportCredentials: credentials.NewTLS(r.peerClientConfig()), reloader: r}
}

// reloadingCredentials uses the certificates loaded last for each new connection.
type reloadingCredentials struct {
	credentials.TransportCredentials
	reloader *Reloader
}

// ClientHandshake implements credentials.TransportCredentials.
func (r reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.reloader.peerClientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (r reloadingCredentials) Clone() credentials.TransportCredentials {
	return reloadingCredentials{TransportCredentials: r.TransportCredentials.Clone(), reloader: r.reloader}
}

func (r *Reloader) peerClientConfig() *tls.Config {
	m := r.loaded.Get()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, RootCAs: m.pool, ServerName: PeerName,
	}
}

// Server returns the TLS configuration of an HTTP server, nil without certificates.
// With a CA, clients must present a certificate that it signed.
func (r *Reloader) Server() *tls.Config {
	if r.loaded == nil {
		return nil
	}
	return configPerConnection(func() *tls.Config {
		t := r.serverConfig()
		t.NextProtos = []string{"http/1.1"}
		return t
	})
}

// configPerConnection returns a configuration that calls newConfig for each connection, so that
// each is verified against the CA loaded last.
func configPerConnection(newConfig func() *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return newConfig(), nil },
	}
}

func (r *Reloader) serverConfig() *tls.Config {
	m := r.loaded.Get()
	t := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, SessionTicketsDisabled: true}
	if m.pool != nil {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = m.pool
	}
	return t
}

func loadKeyMaterial(c config.TLS) (keyMaterial, error) {
	t, pool, err := loadFiles(c)
	if err != nil {
		return keyMaterial{}, err
	}
	return keyMaterial{cert: t.Certificates[0], pool: pool}, nil
}

// Client returns the TLS configuration of an HTTP client, nil if no file is named. Without a
// CA the system's root certificates are used.
func Client(c config.TLS) (*tls.Config, error) {
	if !c.Enabled() && c.CA == "" {
		return nil, nil
	}
	t, pool, err := loadFiles(c)
	if err != nil {
		return nil, fmt.Errorf("client TLS: %w", err)
	}
	t.RootCAs = pool
	return t, nil
}

func loadFiles(c config.TLS) (*tls.Config, *x509.CertPool, error) {
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

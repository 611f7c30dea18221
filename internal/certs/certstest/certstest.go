// Package certstest creates certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/pkg/config"
)

// Validity is how long the certificates are valid.
const Validity = 30 * 24 * time.Hour

// Authority is a certificate authority for a test.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority whose files are removed when the test ends.
func New(t *testing.T, name string) *Authority {
	t.Helper()
	a := &Authority{dir: t.TempDir()}
	template := template(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	writePEM(t, a.Path("ca"), "CERTIFICATE", der)
	return a
}

// Issue writes a certificate for the DNS names and 127.0.0.1, and returns the paths of its
// files and of the authority's certificate.
func (a *Authority) Issue(t *testing.T, file string, names ...string) config.TLS {
	t.Helper()
	template := template(file)
	template.DNSNames = names
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	writePEM(t, a.Path(file), "CERTIFICATE", der)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, a.Path(file+"-key"), "EC PRIVATE KEY", private)
	return config.TLS{Cert: a.Path(file), Key: a.Path(file + "-key"), CA: a.Path("ca")}
}

// Path returns the path of a certificate file or, with the suffix "-key", of its key file;
// "ca" is the authority's certificate.
func (a *Authority) Path(file string) string { return filepath.Join(a.dir, file+".pem") }

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(Validity),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

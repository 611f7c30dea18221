package certs

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/certs/certstest"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/pkg/config"
)

func TestPeerCallsNeedInstanceCertificate(t *testing.T) {
	ours, theirs := certstest.New(t, "ours"), certstest.New(t, "theirs")
	server := ours.Issue(t, "server", PeerName)
	mixed := theirs.Issue(t, "mixed", PeerName)
	mixed.CA = server.CA
	tests := []struct {
		name   string
		client config.TLS
		want   codes.Code
	}{
		{"instance", ours.Issue(t, "client", PeerName), codes.Unimplemented}, // connected: the server has no methods
		{"same CA, not an instance", ours.Issue(t, "caller", "caller.example"), codes.Unavailable},
		{"other CA", theirs.Issue(t, "client", PeerName), codes.Unavailable},
		{"certificate of another CA", mixed, codes.Unavailable},
		{"no TLS", config.TLS{}, codes.Unavailable},
	}
	address := servePeer(t, server)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, status.Code(callPeer(t, address, open(t, tt.client).PeerClient())))
		})
	}
}

func TestPeerClientRejectsOtherServers(t *testing.T) {
	ours := certstest.New(t, "ours")
	address := servePeer(t, ours.Issue(t, "server", "other.example"))
	client := open(t, ours.Issue(t, "client", PeerName))
	assert.Equal(t, codes.Unavailable, status.Code(callPeer(t, address, client.PeerClient())))
}

// A certificate and CA that are renewed in their files are used for the next connection, on
// both sides. If the files can't be used, the old ones stay in use.
func TestRenewedCertificatesAreUsed(t *testing.T) {
	ours, next := certstest.New(t, "ours"), certstest.New(t, "next")
	files := ours.Issue(t, "server", PeerName)
	server := open(t, files)
	address := serveReloader(t, server)
	old, fresh := open(t, ours.Issue(t, "old", PeerName)), open(t, next.Issue(t, "fresh", PeerName))
	connects := func(client *Reloader) bool {
		return status.Code(callPeer(t, address, client.PeerClient())) == codes.Unimplemented
	}
	require.True(t, connects(old))
	require.False(t, connects(fresh))

	require.NoError(t, os.WriteFile(files.Cert, []byte("half a file"), 0o600))
	changed, err := server.Check()
	require.False(t, changed)
	require.ErrorContains(t, err, "TLS: certificate "+files.Cert)
	require.True(t, connects(old), "the old certificate stays in use")

	renewed := next.Issue(t, "server", PeerName)
	replaceFiles(t, renewed, files)
	changed, err = server.Check()
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, connects(fresh))
	require.False(t, connects(old))
	require.WithinDuration(t, time.Now().Add(certstest.Validity), server.Expires(), time.Minute)

	replaceFiles(t, next.Issue(t, "old", PeerName), config.TLS{Cert: ours.Path("old"), Key: ours.Path("old-key"), CA: ours.Path("ca")})
	changed, err = old.Check()
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, connects(old), "the client uses its new certificate too")
}

// replaceFiles overwrites the files that a Reloader reads with renewed ones.
func replaceFiles(t *testing.T, from, to config.TLS) {
	t.Helper()
	for _, pair := range [][2]string{{from.Cert, to.Cert}, {from.Key, to.Key}, {from.CA, to.CA}} {
		text, err := os.ReadFile(pair[0])
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(pair[1], text, 0o600))
	}
}

func TestPeerWithoutCertificates(t *testing.T) {
	address := servePeer(t, config.TLS{})
	assert.Equal(t, codes.Unimplemented, status.Code(callPeer(t, address, insecure.NewCredentials())))
}

func open(t *testing.T, files config.TLS) *Reloader {
	t.Helper()
	k, err := Open(files)
	require.NoError(t, err)
	return k
}

func servePeer(t *testing.T, files config.TLS) string {
	t.Helper()
	return serveReloader(t, open(t, files))
}

func serveReloader(t *testing.T, k *Reloader) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(grpc.Creds(k.PeerServer()))
	peerpb.RegisterPeerServer(server, peerpb.UnimplementedPeerServer{})
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, g.Wait())
	})
	return l.Addr().String()
}

func callPeer(t *testing.T, address string, c credentials.TransportCredentials) error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(c))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = peerpb.NewPeerClient(conn).Totals(ctx, &peerpb.TotalsRequest{})
	return err
}

func TestOperatorTLS(t *testing.T) {
	ours, theirs := certstest.New(t, "ours"), certstest.New(t, "theirs")
	files := ours.Issue(t, "server")
	withoutCA := files
	withoutCA.CA = ""
	tests := []struct {
		name   string
		server config.TLS
		client config.TLS
		wantOK bool
	}{
		{"client certificate", files, ours.Issue(t, "client"), true},
		{"no client certificate", files, config.TLS{CA: files.CA}, false},
		{"client of another CA", files, config.TLS{CA: files.CA, Cert: theirs.Issue(t, "x").Cert, Key: theirs.Path("x-key")}, false},
		{"server without CA", withoutCA, config.TLS{CA: files.CA}, true},
		{"unknown server", withoutCA, config.TLS{CA: theirs.Path("ca")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := getWithTLS(t, tt.server, tt.client)
			assert.Equal(t, tt.wantOK, err == nil, "%v", err)
		})
	}
}

func getWithTLS(t *testing.T, serverFiles, clientFiles config.TLS) error {
	t.Helper()
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = open(t, serverFiles).Server()
	server.StartTLS()
	defer server.Close()
	settings, err := Client(clientFiles)
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: settings}}
	defer client.CloseIdleConnections()
	response, err := client.Get(server.URL)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestLoadErrors(t *testing.T) {
	ours := certstest.New(t, "ours")
	files := ours.Issue(t, "server")
	tests := []struct {
		name  string
		files config.TLS
		want  string
	}{
		{"no certificate", config.TLS{Cert: "none", Key: "none", CA: files.CA}, "TLS: read: open none"},
		{"no CA", config.TLS{Cert: files.Cert, Key: files.Key, CA: "none"}, "TLS: read: open none"},
		{"CA without certificate", config.TLS{Cert: files.Cert, Key: files.Key, CA: files.Key}, "no certificate in PEM form"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Open(tt.files)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

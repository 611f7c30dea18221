package command

import (
	"bytes"
	"context"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
)

func TestTLS(t *testing.T) {
	f := newFakeBackend()
	setRevisionThree(f, "")
	server := httptest.NewTLSServer(operator.NewServer(f, operator.WithToken(token)))
	defer server.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	require.NoError(t, os.WriteFile(ca, pem.EncodeToMemory(block), 0o600))
	address := strings.TrimPrefix(server.URL, "https://")
	tests := []struct {
		name string
		args []string
		want ExitCode
	}{
		{"trusted", []string{"--ca", ca}, ExitOK},
		{"no TLS", nil, ExitRefused},
		{"no CA file", []string{"--ca", "none.pem"}, ExitBadInput},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := append([]string{"chiveramp", "--address", address, "--token", token}, tt.args...)
			code := Run(context.Background(), append(args, "get"), WithStreams(nil, &out, &errOut))
			assert.Equal(t, tt.want, code, errOut.String())
			assert.Equal(t, tt.want == ExitOK, out.String() == firstDocument)
		})
	}
}

package config

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimal = `
[instance]
name = a1
region = sask
datacentre = sask-1
[caller]
listen = 127.0.0.1:7080
[peer]
listen = 127.0.0.1:7090
[operator]
listen = 127.0.0.1:7070
token = 0123456789abcdef
[platform]
address = http://127.0.0.1:8500
endpoints = matcher, board-app
`

func TestParse(t *testing.T) {
	c, err := Parse("daemon.ini", []byte(minimal+"[limits]\ndrain = 1m30s\nreplay = 2MiB\n[endpoint]\nchecks = matcher\n"))
	require.NoError(t, err)
	want := Default()
	want.File = "daemon.ini"
	want.Instance = Instance{Name: "a1", Region: "sask", Datacentre: "sask-1"}
	want.Caller.Listen, want.Caller.Advertise = "127.0.0.1:7080", "127.0.0.1:7080"
	want.Peer.Listen, want.Peer.Advertise = "127.0.0.1:7090", "127.0.0.1:7090"
	want.Operator.Listen, want.Operator.Token = "127.0.0.1:7070", "0123456789abcdef"
	want.Platform.Address = "http://127.0.0.1:8500"
	want.Platform.Endpoints = []string{"matcher", "board-app"}
	want.Endpoint.Checks = []string{"matcher"}
	want.Limits.Drain = 90 * time.Second
	want.Limits.Replay = 2 << 20
	assert.Equal(t, want, c)
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name string
		from string // text of the minimal settings that is replaced by the next field
		to   string
		want string
	}{
		{"unknown key", "name = a1", "title = a1", "f: [instance] title: unknown key, want one of name, region, datacentre, incarnation"},
		{"unknown section", "[peer]", "[pear]", "f: [pear]: unknown section, want one of instance, caller, peer, operator, platform, endpoint, weights, limits, log, trace, metrics"},
		{"missing key", "region = sask\n", "", "f: [instance] region: missing, want a name of letters, digits, dot, dash or underscore"},
		{"missing section", "[peer]\nlisten = 127.0.0.1:7090\n", "", "f: [peer] listen: missing, want IP:port such as 10.0.0.1:7080"},
		{"host for IP", "127.0.0.1:7080", "localhost:7080", `f: [caller] listen: got "localhost:7080", want IP:port such as 10.0.0.1:7080`},
		{"empty value", "127.0.0.1:7080", "", `f: [caller] listen: got "", want IP:port such as 10.0.0.1:7080`},
		{"size without unit", "[peer]", "body = 8\n[peer]", `f: [caller] body: got "8", want a size with a unit B, KiB, MiB, GiB or TiB, such as 8MiB, 1KiB at least`},
		{"duration without unit", "[operator]", "beat = 1\n[operator]", `f: [peer] beat: got "1", want a duration with a unit ms, s, m or h, such as 500ms, 50ms at least`},
		{"beat too short", "[operator]", "beat = 1ms\n[operator]", `f: [peer] beat: got "1ms", want a duration with a unit ms, s, m or h, such as 500ms, 50ms at least`},
		{"repeated key", "region = sask", "region = sask\nregion = sask", "f: [instance] region: given 2 times, want it once"},
		{"key outside", "\n[instance]", "name = x\n[instance]", `f: key "name" before any section, want a [section] line first`},
		{"not INI", "[instance]", "[instance", "f: unclosed section: [instance, want lines of the form key = value under [section]"},
		{"short token", "0123456789abcdef", "secret", "f: [operator] token: got 6 bytes, want a secret of 16 bytes or more"},
		{"no token file", "0123456789abcdef", "file:/nonexistent/token", "f: [operator] token: can't read: open /nonexistent/token: no such file or directory, want file:PATH of a readable file"},
		{"wildcard listen", "127.0.0.1:7080", "0.0.0.0:7080", "f: [caller] advertise: missing while listen is 0.0.0.0:7080, want host:port that others can reach"},
		{"cert without key", "[operator]", "cert = a.pem\n[operator]", "f: [peer] key: missing, want cert and key together"},
		{"peer without CA", "[operator]", "cert = a.pem\nkey = b.pem\n[operator]", "f: [peer] ca: missing, want the CA that instances are signed by"},
		{"lease too short", "[platform]", "[platform]\nlease = 3s", "f: [platform] lease: got 3s, want twice timeout or more"},
		{"checks unlisted", "[platform]", "[endpoint]\nchecks = design\n[platform]", `f: [endpoint] checks: got "design", want services listed in [platform] endpoints`},
		{"bad level", "[platform]", "[log]\nlevel = loud\n[platform]", `f: [log] level: got "loud", want one of debug, info, warn, error`},
		{"bad sample", "[platform]", "[trace]\nsample = 1.5\n[platform]", `f: [trace] sample: got "1.5", want a share from 0 to 1`},
		{"NaN sample", "[platform]", "[trace]\nsample = nan\n[platform]", `f: [trace] sample: got "nan", want a share from 0 to 1`},
		{"bad platform URL", "http://127.0.0.1:8500", "127.0.0.1:8500", `f: [platform] address: got "127.0.0.1:8500", want a URL such as http://10.0.0.1:8500`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(minimal, tt.from, tt.to, 1)
			require.NotEqual(t, minimal, text)
			_, err := Parse("f", []byte(text))
			require.EqualError(t, err, tt.want)
		})
	}
}

func TestLoadReadsTokenFromFile(t *testing.T) {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	require.NoError(t, os.WriteFile(token, []byte("fedcba9876543210\n"), 0o600))
	path := filepath.Join(dir, "daemon.ini")
	text := strings.Replace(minimal, "0123456789abcdef", "file:"+token, 1)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	c, err := Load(path)
	require.NoError(t, err)
	assert.Equal(t, "fedcba9876543210", c.Operator.Token)
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("/nonexistent/daemon.ini")
	require.EqualError(t, err, "/nonexistent/daemon.ini: can't read: open /nonexistent/daemon.ini: no such file or directory, want a readable INI file")
}

func TestListenPortInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	_, err = Config{File: "f"}.Listen(context.Background(), "caller", "listen", address)
	require.EqualError(t, err, `f: [caller] listen: got "`+address+`": listen tcp `+address+": bind: address already in use, want a free IP:port of this machine")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[instance]\nname = `a\n"))
	f.Add([]byte("[a]\nb = \"\"\"c\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse("f", text)
		if err != nil && strings.ContainsAny(err.Error(), "\n\r") {
			t.Fatalf("error of more than one line: %q", err)
		}
	})
}

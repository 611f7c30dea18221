package process

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/certs"
	"github.com/chiveramp/chiveramp/internal/certs/certstest"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// secure gives an instance its certificates.
func (b *bench) secure(n *instance, peers, operators *certstest.Authority) *instance {
	b.t.Helper()
	n.peerTLS = peers.Issue(b.t, n.name, certs.PeerName)
	n.operatorTLS = operators.Issue(b.t, n.name+"-operator")
	n.peerTLS.CA, n.operatorTLS.CA = operators.Path("ca"), operators.Path("ca")
	return n
}

// The whole path with TLS between instances and for operators: who has no right
// certificate gets nowhere. Then a second CA is added to the files of running instances,
// and an instance with a certificate of that one joins them.
func TestWholePathOverTLS(t *testing.T) {
	ours, next := certstest.New(t, "ours"), certstest.New(t, "next")
	b := newBench(t, "matcher", "board")
	b.operator = ours.Issue(t, "operator")
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.engine("b1", "board", "north", "north-1", engine.WithModels("board-b"))
	south := b.secure(b.plan("s1a", "south", "south-1"), ours, ours)
	north := b.secure(b.plan("n1a", "north", "north-1"), ours, ours)
	b.enter(south)
	b.enter(north)
	b.apply(south, 0, twoModels)
	b.ready()
	b.requireChat(t, south.caller, "chat", "board-b", "through two instances", true)
	b.requireStrangersOut(south, ours)

	both, err := os.ReadFile(next.Path("ca"))
	require.NoError(t, err)
	first, err := os.ReadFile(ours.Path("ca"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(ours.Path("ca"), append(first, both...), 0o600))
	for _, n := range b.nodes {
		b.eventually("the new CA at "+n.name, func() bool {
			return strings.Contains(n.log.String(), `step=renew part="certificate [peer]"`)
		})
	}
	late := b.secure(b.plan("n1b", "north", "north-1"), next, ours)
	b.enter(late)
	b.ready()
	b.requireChat(t, late.caller, "chat", "matcher-a", "back the other way", true)
}

// requireStrangersOut asks an instance as a peer and as an operator without the right
// certificates.
func (b *bench) requireStrangersOut(n *instance, ours *certstest.Authority) {
	b.t.Helper()
	caller, err := certs.Open(ours.Issue(b.t, "caller", "caller.example"))
	require.NoError(b.t, err)
	for name, client := range map[string]*peer.Client{
		"in clear text": peer.NewClient(),
		"as no peer":    peer.NewClient(peer.WithCredentials(caller.PeerClient())),
	} {
		_, err := client.Explain(b.t.Context(), n.peer, "r", false)
		require.Error(b.t, err, name)
		require.NoError(b.t, client.Close())
	}
	settings, err := certs.Client(config.TLS{CA: ours.Path("ca")})
	require.NoError(b.t, err)
	stranger := operator.NewClient([]string{n.operator}, operator.WithBearerToken(token), operator.WithTLS(settings))
	defer stranger.Close()
	_, err = stranger.Status(b.t.Context())
	require.Error(b.t, err, "no client certificate")
}

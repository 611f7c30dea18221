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

// issueCertificates issues an instance a certificate for peers and one for operators, from
// the given authorities.
func (dp *deployment) issueCertificates(n *instance, peers, operators *certstest.Authority) *instance {
	dp.t.Helper()
	n.peerTLS = peers.Issue(dp.t, n.name, certs.PeerName)
	n.operatorTLS = operators.Issue(dp.t, n.name+"-operator")
	n.peerTLS.CA, n.operatorTLS.CA = operators.Path("ca"), operators.Path("ca")
	return n
}

// Requests work with TLS between instances and for operators, and connections without a
// valid certificate are rejected. Then a second CA is added to the files of running
// instances, and an instance with a certificate from that CA joins them.
func TestRequestsOverTLS(t *testing.T) {
	ours, next := certstest.New(t, "ours"), certstest.New(t, "next")
	b := newDeployment(t, "matcher", "board")
	b.operatorTLS = ours.Issue(t, "operator")
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.addEngine("b1", "board", "north", "north-1", engine.WithModels("board-b"))
	south := b.issueCertificates(b.newInstance("s1a", "south", "south-1"), ours, ours)
	north := b.issueCertificates(b.newInstance("n1a", "north", "north-1"), ours, ours)
	b.join(south)
	b.join(north)
	b.applyDocument(south, 0, twoModelsDocument)
	b.waitReady()
	b.requireChat(t, south.caller, "chat", "board-b", "through two instances", true)
	b.requireUntrustedRejected(south, ours)

	nextCA, err := os.ReadFile(next.Path("ca"))
	require.NoError(t, err)
	ourCA, err := os.ReadFile(ours.Path("ca"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(ours.Path("ca"), append(ourCA, nextCA...), 0o600))
	for _, n := range b.instances {
		b.eventually("the new CA at "+n.name, func() bool {
			return strings.Contains(n.log.String(), `step=renew part="certificate [peer]"`)
		})
	}
	late := b.issueCertificates(b.newInstance("n1b", "north", "north-1"), next, ours)
	b.join(late)
	b.waitReady()
	b.requireChat(t, late.caller, "chat", "matcher-a", "back the other way", true)
}

// requireUntrustedRejected connects to an instance as a peer and as an operator without valid
// certificates and requires that it refuses.
func (dp *deployment) requireUntrustedRejected(n *instance, ours *certstest.Authority) {
	dp.t.Helper()
	caller, err := certs.Open(ours.Issue(dp.t, "caller", "caller.example"))
	require.NoError(dp.t, err)
	for name, client := range map[string]*peer.Client{
		"without TLS":                peer.NewClient(),
		"without a peer certificate": peer.NewClient(peer.WithCredentials(caller.PeerClient())),
	} {
		_, err := client.Explain(dp.t.Context(), n.peer, "r", false)
		require.Error(dp.t, err, name)
		require.NoError(dp.t, client.Close())
	}
	settings, err := certs.Client(config.TLS{CA: ours.Path("ca")})
	require.NoError(dp.t, err)
	untrusted := operator.NewClient([]string{n.operator}, operator.WithBearerToken(operatorToken), operator.WithTLS(settings))
	defer untrusted.Close()
	_, err = untrusted.Status(dp.t.Context())
	require.Error(dp.t, err, "no client certificate")
}

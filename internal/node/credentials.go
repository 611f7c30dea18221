package node

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/internal/certs"
	"github.com/chiveramp/chiveramp/internal/keys"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/pkg/config"
)

const (
	// credentialCheckInterval is the time between two checks of the credential files.
	credentialCheckInterval = 10 * time.Second
	// expiryWarning is how long before its expiry a certificate is reported as degraded.
	expiryWarning = 7 * 24 * time.Hour
)

// credentials are the certificates and operator keys of one instance. They are reloaded
// while it runs.
type credentials struct {
	peer     *certs.Reloader
	operator *certs.Reloader
	keys     *reload.Value[keys.Set] // nil if no key file is set
}

func newCredentials(c config.Config) (*credentials, error) {
	s := &credentials{}
	var err error
	if s.peer, err = certs.Open(c.Peer.TLS); err != nil {
		return nil, fmt.Errorf("[peer] credentials: %w", err)
	}
	if s.operator, err = certs.Open(c.Operator.TLS); err != nil {
		return nil, fmt.Errorf("[operator] credentials: %w", err)
	}
	if c.Operator.Keys == "" {
		return s, nil
	}
	s.keys, err = reload.New([]string{c.Operator.Keys}, func() (keys.Set, error) { return readKeys(c.Operator.Keys) })
	if err != nil {
		return nil, fmt.Errorf("[operator] keys: %w", err)
	}
	return s, nil
}

func readKeys(path string) (keys.Set, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return keys.Set{}, err
	}
	return keys.Parse(path, text)
}

// findKey returns the operator key that matches a token.
func (c *credentials) findKey(token string) (keys.Key, bool) {
	if c.keys == nil {
		return keys.Key{}, false
	}
	return c.keys.Get().Find(time.Now(), token)
}

// files returns the sets of credential files to check.
func (c *credentials) files() []credentialFiles {
	list := []credentialFiles{
		{part: "certificate [peer]", check: c.peer.Check, lastErr: c.peer.Err(), expires: c.peer.Expires()},
		{part: "certificate [operator]", check: c.operator.Check, lastErr: c.operator.Err(), expires: c.operator.Expires()},
	}
	if c.keys != nil {
		list = append(list, credentialFiles{part: "keys [operator]", check: c.keys.Check, lastErr: c.keys.Err()})
	}
	return list
}

// credentialFiles is one set of files: how to reload them, and their state after the last check.
type credentialFiles struct {
	part    string
	check   func() (changed bool, err error)
	lastErr error
	expires time.Time // zero if it does not expire
}

// problem describes what is wrong with the files or the certificate. It is empty if they
// are fine.
func (c credentialFiles) problem(now time.Time) string {
	if c.lastErr != nil {
		return "reload failed, the previous version stays in use: " + c.lastErr.Error()
	}
	if !c.expires.IsZero() && c.expires.Sub(now) < expiryWarning {
		return "expires at " + c.expires.UTC().Format(time.RFC3339)
	}
	return ""
}

// reload reads changed files and logs the results.
func (c *credentials) reload(logger log.Logger) {
	for _, l := range c.files() {
		changed, err := l.check()
		if changed {
			_ = level.Info(logger).Log("step", "renew", "part", l.part)
		}
		if err != nil {
			_ = level.Error(logger).Log("step", "renew", "part", l.part, "err", err)
		}
	}
}

func (n *Node) reloadCredentials(context.Context, time.Time) {
	n.credentials.reload(n.logger)
}

// credentialStatus lists the credentials that need an operator's attention.
func (n *Node) credentialStatus() []operator.Degradation {
	var list []operator.Degradation
	for _, l := range n.credentials.files() {
		if problem := l.problem(n.clock()); problem != "" {
			list = append(list, n.degradation(l.part+" of instance "+n.config.Instance.Name, problem))
		}
	}
	return list
}

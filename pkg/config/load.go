package config

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

const (
	filePrefix     = "file:"
	minTokenLength = 16 // bytes
)

// Load reads and checks a settings file. An error is a single line with the file,
// section and key, the value found, and the values allowed.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &inifile.Error{File: path, Got: fmt.Sprintf("can't read: %v", err), Want: "a readable INI file"}
	}
	return Parse(path, text)
}

// Parse parses and checks the text of a settings file. Errors refer to the text by name.
func Parse(name string, text []byte) (Config, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Config{}, err
	}
	c := Default()
	c.File = name
	if err := decode(name, sections(&c), file); err != nil {
		return Config{}, err
	}
	if err := c.complete(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func decode(name string, known []section, file inifile.File) error {
	seen := make(map[string]bool, len(known))
	for _, s := range file.Sections() {
		i := slices.IndexFunc(known, func(k section) bool { return k.name == s.Name() })
		if i < 0 {
			return s.NewError("", "unknown section", "one of "+sectionNames(known))
		}
		if err := s.Decode(known[i].fields); err != nil {
			return err
		}
		seen[s.Name()] = true
	}
	for _, k := range known {
		if seen[k.name] {
			continue
		}
		if err := inifile.CheckMissingSection(name, k.name, k.fields); err != nil {
			return err
		}
	}
	return nil
}

func sectionNames(known []section) string {
	names := make([]string, 0, len(known))
	for _, k := range known {
		names = append(names, k.name)
	}
	return strings.Join(names, ", ")
}

// complete fills in the defaults that depend on other keys, and checks rules that
// involve several keys.
func (c *Config) complete() error {
	if err := c.setDefaultAdvertise("caller", c.Caller.Listen, &c.Caller.Advertise); err != nil {
		return err
	}
	if err := c.setDefaultAdvertise("peer", c.Peer.Listen, &c.Peer.Advertise); err != nil {
		return err
	}
	if err := c.checkTLS("peer", c.Peer.TLS, true); err != nil {
		return err
	}
	if err := c.checkTLS("operator", c.Operator.TLS, false); err != nil {
		return err
	}
	if err := c.readToken(); err != nil {
		return err
	}
	return c.checkConsistency()
}

func (c *Config) settingError(section, key, given, want string) error {
	return &inifile.Error{File: c.File, Section: section, Key: key, Got: given, Want: want}
}

func (c *Config) setDefaultAdvertise(section, listen string, to *string) error {
	if *to != "" {
		return nil
	}
	a, err := netip.ParseAddrPort(listen)
	if err != nil || a.Addr().IsUnspecified() || a.Port() == 0 {
		return c.settingError(section, "advertise", fmt.Sprintf("missing while listen is %s", listen), "host:port that others can reach")
	}
	*to = listen
	return nil
}

func (c *Config) checkTLS(section string, t TLS, mutual bool) error {
	const want = "cert and key together"
	switch {
	case t.Cert != "" && t.Key == "":
		return c.settingError(section, "key", "missing", want)
	case t.Key != "" && t.Cert == "":
		return c.settingError(section, "cert", "missing", want)
	case t.CA != "" && t.Cert == "":
		return c.settingError(section, "cert", "missing while ca is given", want)
	case mutual && t.Cert != "" && t.CA == "":
		return c.settingError(section, "ca", "missing", "the CA that instances are signed by")
	}
	return nil
}

func (c *Config) readToken() error {
	if c.Operator.Token == "" && c.Operator.Keys == "" {
		return c.settingError("operator", "token", "missing", wantToken+", or keys")
	}
	if c.Operator.Token == "" {
		return nil
	}
	if path, found := strings.CutPrefix(c.Operator.Token, filePrefix); found {
		text, err := os.ReadFile(path)
		if err != nil {
			return c.settingError("operator", "token", fmt.Sprintf("can't read: %v", err), "file:PATH of a readable file")
		}
		c.Operator.Token = strings.TrimSpace(string(text))
	}
	if n := len(c.Operator.Token); n < minTokenLength {
		return c.settingError("operator", "token", fmt.Sprintf("got %d bytes", n), fmt.Sprintf("a secret of %d bytes or more", minTokenLength))
	}
	return nil
}

func (c *Config) checkConsistency() error {
	if c.Platform.Lease < 2*c.Platform.Timeout {
		return c.settingError("platform", "lease", "got "+c.Platform.Lease.String(), "twice timeout or more")
	}
	for _, s := range c.Endpoint.Checks {
		if !slices.Contains(c.Platform.Endpoints, s) {
			return c.settingError("endpoint", "checks", fmt.Sprintf("got %q", s), "services listed in [platform] endpoints")
		}
	}
	return nil
}

// Listen opens a listener on the address given under a key of a section. An error,
// such as for a port in use, has the same single-line form as those of Load.
func (c Config) Listen(ctx context.Context, section, key, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, c.settingError(section, key, fmt.Sprintf("got %q: %v", address, err), "a free IP:port of this machine")
	}
	return l, nil
}

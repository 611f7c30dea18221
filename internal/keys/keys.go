// Package keys reads the operators' keys: who may call the operators' API, and with which
// role. The file contains digests of the tokens, never the tokens themselves.
package keys

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/inifile"
)

// Role is an operator's set of permissions.
type Role string

// The roles.
const (
	// RoleView may read everything and change nothing.
	RoleView Role = "view"
	// RoleEdit may apply documents and drain instances as well.
	RoleEdit Role = "edit"
)

const (
	sectionKey = "key"
	// tokenBytes is the length of a generated token before base64 encoding.
	tokenBytes = 32
	dateFormat = time.DateOnly
)

// Key is one operator's entry in the file.
type Key struct {
	// Name identifies the operator in the history of documents.
	Name string
	Role Role
	// Until is the first day on which the key is no longer valid, zero if it never expires.
	Until time.Time

	digest credential.Digest
}

// Set is a checked list of keys.
type Set struct {
	keys []Key
}

// Len returns the number of keys.
func (s Set) Len() int { return len(s.keys) }

// Find returns the valid key that a token belongs to. All digests are compared in constant
// time, so that the duration reveals nothing about them.
func (s Set) Find(now time.Time, token string) (Key, bool) {
	digest := credential.DigestOf(token)
	var found Key
	for _, k := range s.keys {
		if digest.Equal(k.digest) {
			found = k
		}
	}
	return found, found.Name != "" && (found.Until.IsZero() || now.Before(found.Until))
}

// Parse reads and validates a file of keys. An error is one line that names the file, the
// section, the setting, the given value and the allowed ones.
func Parse(name string, text []byte) (Set, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Set{}, err
	}
	var set Set
	for _, s := range file.Sections() {
		k, err := parseKey(s)
		if err != nil {
			return Set{}, err
		}
		if err := set.add(s, k); err != nil {
			return Set{}, err
		}
	}
	return set, nil
}

func parseKey(s inifile.Section) (Key, error) {
	kind, label := s.Kind()
	if kind != sectionKey || !inifile.IsName(label) {
		return Key{}, s.NewError("", "unknown section", `[key "NAME"]`)
	}
	k := Key{Name: label, Role: RoleView}
	return k, s.Decode(fields(&k))
}

func fields(k *Key) []inifile.Field {
	return []inifile.Field{
		inifile.Custom("digest", "64 hexadecimal digits, the SHA-256 of the token",
			func(text string) bool { return setDigest(k, text) },
			func() string { return hex.EncodeToString(k.digest[:]) }).AsRequired(),
		inifile.Choice("role", &k.Role, RoleView, RoleEdit).AsRequired(),
		inifile.Custom("until", "a day such as 2027-01-31",
			func(text string) bool { return setUntil(k, text) },
			func() string { return k.Until.Format(dateFormat) }),
	}
}

func setDigest(k *Key, text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && copy(k.digest[:], raw) == len(k.digest) && len(raw) == len(k.digest)
}

func setUntil(k *Key, text string) bool {
	day, err := time.Parse(dateFormat, text)
	k.Until = day
	return err == nil
}

func (s *Set) add(section inifile.Section, k Key) error {
	for _, other := range s.keys {
		if other.Name == k.Name {
			return section.NewError("", "given more than once", "it once")
		}
		if other.digest == k.digest {
			return section.NewError("digest", "same digest as key "+other.Name, "a token of its own for each operator")
		}
	}
	s.keys = append(s.keys, k)
	return nil
}

// New generates a token, and the section that admits it when added to the file.
func New(name string, role Role, until string) (token, section string, err error) {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fmt.Errorf("generate token: %w", err)
	}
	token = base64.RawURLEncoding.EncodeToString(raw)
	digest := credential.DigestOf(token)
	lines := []string{fmt.Sprintf("[%s %q]", sectionKey, name), "digest = " + hex.EncodeToString(digest[:]), "role = " + string(role)}
	if until != "" {
		lines = append(lines, "until = "+until)
	}
	section = strings.Join(lines, "\n") + "\n"
	if _, err := Parse("key", []byte(section)); err != nil {
		return "", "", err
	}
	return token, section, nil
}

package keys

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newKey(t *testing.T, name string, role Role, until string) (token, section string) {
	t.Helper()
	token, section, err := New(name, role, until)
	require.NoError(t, err)
	return token, section
}

func TestTokenFindsItsOwnKey(t *testing.T) {
	ana, first := newKey(t, "ana", RoleEdit, "")
	bo, second := newKey(t, "bo", RoleView, "2026-12-04")
	old, third := newKey(t, "old", RoleEdit, "2026-12-03")
	set, err := Parse("keys.ini", []byte(first+second+third))
	require.NoError(t, err)
	require.Equal(t, 3, set.Len())
	tests := []struct {
		name, token string
		want        string
		role        Role
	}{
		{name: "edit", token: ana, want: "ana", role: RoleEdit},
		{name: "view, until tomorrow", token: bo, want: "bo", role: RoleView},
		{name: "until today", token: old},
		{name: "unknown", token: ana + "x"},
		{name: "empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, ok := set.Find(now, tt.token)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, k.Name)
				require.Equal(t, tt.role, k.Role)
			}
		})
	}
}

func TestParseErrors(t *testing.T) {
	_, good := newKey(t, "ana", RoleEdit, "")
	tests := []struct{ name, text, want string }{
		{"section", "[operator]\n", `want [key "NAME"]`},
		{"no digest", "[key \"ana\"]\nrole = view\n", "digest: missing"},
		{"short digest", "[key \"ana\"]\nrole = view\ndigest = 12\n", "64 hexadecimal digits"},
		{"role", strings.Replace(good, "edit", "all", 1), "one of view, edit"},
		{"until", good + "until = soon\n", "a day such as"},
		{"unknown key", good + "name = x\n", "unknown key"},
		{"twice", good + strings.Replace(good, "ana", "ana2", 1), "a token of its own"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("keys.ini", []byte(tt.text))
			require.ErrorContains(t, err, tt.want)
			require.ErrorContains(t, err, "keys.ini")
		})
	}
}

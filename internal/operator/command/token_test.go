package command

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/keys"
)

// The printed key must accept the printed token and reject any other.
func TestToken(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want ExitCode
		role keys.Role
	}{
		{name: "view", args: []string{"ana"}, role: keys.RoleView},
		{name: "edit", args: []string{"--role", "edit", "--until", "2100-01-01", "ana"}, role: keys.RoleEdit},
		{name: "no name", want: ExitBadInput},
		{name: "bad name", args: []string{"a b"}, want: ExitBadInput},
		{name: "bad role", args: []string{"--role", "all", "ana"}, want: ExitBadInput},
		{name: "bad expiry date", args: []string{"--until", "soon", "ana"}, want: ExitBadInput},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := append([]string{"chiveramp", "-o", "json", "token"}, tt.args...)
			require.Equal(t, tt.want, Run(context.Background(), args, WithStreams(nil, &out, &errOut)), errOut.String())
			if tt.want != ExitOK {
				return
			}
			var printed tokenOutput
			require.NoError(t, json.Unmarshal(out.Bytes(), &printed))
			set, err := keys.Parse("keys.ini", []byte(printed.Key))
			require.NoError(t, err)
			k, ok := set.Find(time.Now(), printed.Token)
			assert.True(t, ok)
			assert.Equal(t, "ana", k.Name)
			assert.Equal(t, tt.role, k.Role)
			_, ok = set.Find(time.Now(), printed.Token+"x")
			assert.False(t, ok)
		})
	}
}

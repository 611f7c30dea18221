package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func execute(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = Execute(t.Context(), append([]string{"chiveramp-check"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestExecuteRejectsInvalidArguments(t *testing.T) {
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"run", "nothing"}, `model "nothing": want allotments, claims, document`},
		{[]string{"run", "--off", "sticky", "claims"}, `no mechanism "sticky"`},
		{[]string{"run", "--output", "xml"}, `output "xml"`},
		{[]string{"run", "--depth", "x"}, "usage"},
	}
	for _, tt := range tests {
		code, _, stderr := execute(t, tt.args...)
		require.Equal(t, exitUsage, code, tt.args)
		require.Contains(t, stderr, tt.want)
	}
}

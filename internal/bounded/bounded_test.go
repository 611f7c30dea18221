package bounded

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The beginning of a message must not be taken for the whole.
func TestReadAllFailsBeyondItsLimit(t *testing.T) {
	tests := []struct {
		name    string
		text    io.Reader
		want    string
		wantErr error
	}{
		{name: "empty", text: strings.NewReader("")},
		{name: "at the limit", text: strings.NewReader("12345678"), want: "12345678"},
		{name: "one byte more", text: strings.NewReader("123456789"), wantErr: ErrTooLarge},
		{name: "broken off", text: io.MultiReader(strings.NewReader("1234"), iotest.ErrReader(io.ErrUnexpectedEOF)), wantErr: io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text, err := ReadAll(tt.text, 8)
			require.ErrorIs(t, err, tt.wantErr)
			assert.Equal(t, tt.want, string(text))
		})
	}
}

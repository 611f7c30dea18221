package transfer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A text arrives whole over any senders with the same version, each of which may break off or
// have it in another form.
func TestAssemblyOverSeveralSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Repeat([]byte("0123456789"), rapid.IntRange(1, 3*PartBytes/10).Draw(t, "tens"))
		senders := []*Text{NewText(7, 3, data), NewText(7, 3, data), NewText(7, 0, append([]byte("other form"), data...))}
		var a Assembly
		for range 100 {
			sender := senders[rapid.IntRange(0, 2).Draw(t, "sender")]
			id, offset := a.Next()
			if id != sender.ID() {
				offset = 0 // a sender begins anew if it doesn't have the text in progress
			}
			complete, err := a.Add(sender.Part(offset))
			require.NoError(t, err)
			if complete {
				require.True(t, bytes.HasSuffix(a.Text(), data))
				return
			}
		}
		id, _ := a.Next()
		require.Contains(t, []ID{senders[0].ID(), senders[2].ID()}, id)
	})
}

func TestAssemblyRefusesWrongParts(t *testing.T) {
	text := NewText(7, 0, make([]byte, 2*PartBytes+5))
	wrongDigest := func(p Part) Part { p.Digest++; return p }
	for _, c := range []struct {
		name string
		part Part
		want error
	}{
		{"nothing", Part{}, ErrInvalid},
		{"no data", text.Part(2*PartBytes + 5), ErrInvalid},
		{"a gap", text.Part(PartBytes + 1), ErrInvalid},
		{"another text", wrongDigest(text.Part(PartBytes)), ErrOtherText},
		{"beyond the end", Part{ID: text.ID(), Size: 4, Offset: 2, Data: make([]byte, 3)}, ErrInvalid},
		{"too large", Part{ID: text.ID(), Size: maxBytes + 1, Data: []byte("a")}, ErrInvalid},
		{"a wrong digest", Part{ID: ID{Version: 8, Digest: 1}, Size: 1, Data: []byte("a")}, ErrInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Assembly
			_, err := a.Add(text.Part(0))
			require.NoError(t, err)
			_, err = a.Add(c.part)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

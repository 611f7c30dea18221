package document

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/revision"
)

// FuzzUnpack decodes arbitrary bytes from a peer: the result is an error or a document of
// bounded size.
func FuzzUnpack(f *testing.F) {
	base := revision.Document{Revision: 1, ApplyID: "a", Text: []byte("[profile one]\nrank = urgent\n")}
	next := revision.Document{Revision: 2, ApplyID: "b", Text: []byte("[profile one]\nrank = bulk\n")}
	for _, against := range []revision.Document{{}, base} {
		raw, err := pack(next, against)
		require.NoError(f, err)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := unpack(raw, base)
		if err == nil {
			require.LessOrEqual(t, len(d.Text), 4*SizeLimit)
		}
	})
}

// FuzzPack sends an arbitrary edit to a peer with an arbitrary document: the text must arrive
// unchanged.
func FuzzPack(f *testing.F) {
	f.Add([]byte(""), []byte(""))
	f.Add([]byte("a"), []byte("ab"))
	f.Add([]byte("\x00\xff"), []byte(""))
	f.Add([]byte("[profile one]\nrank = urgent\n"), []byte("[profile one]\nrank = bulk\n"))
	f.Fuzz(func(t *testing.T, before, after []byte) {
		base := revision.Document{Revision: 1, ApplyID: "a", Text: before}
		raw, err := pack(revision.Document{Revision: 2, ApplyID: "b", Text: after}, base)
		require.NoError(t, err)
		got, err := unpack(raw, base)
		require.NoError(t, err)
		require.Equal(t, string(after), string(got.Text))
		require.Equal(t, uint64(2), got.Revision)
	})
}

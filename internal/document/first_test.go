package document

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
)

// restoreStore writes an older document over the store's, as a restore from a backup does.
func restoreStore(t *testing.T, store *platformtest.Fake, d revision.Document) {
	t.Helper()
	entry, err := store.Get(t.Context(), Key)
	require.NoError(t, err)
	raw, err := d.Encode()
	require.NoError(t, err)
	_, err = store.Swap(t.Context(), platform.Write{Key: Key, Value: raw, Expect: entry.Version})
	require.NoError(t, err)
}

// runOnce is one iteration of Run without its waits.
func runOnce(ctx context.Context, t *testing.T, d *Documents) {
	t.Helper()
	d.pull(ctx)
	d.applyFirst(ctx)
	entry, err := d.store.Get(ctx, Key)
	require.NoError(t, err)
	require.NoError(t, d.applyStored(ctx, entry))
	d.applyFirst(ctx)
}

// An instance restarts after the store was restored to an older document and before a watcher
// repaired it: the older document must not come in force. Found by the model checker with
// `chiveramp-check run document`.
func TestRestartIgnoresDocumentOfRestoredStore(t *testing.T) {
	ctx := t.Context()
	store := platformtest.New()
	all := peers{"live": New(store)}
	_, err := all["live"].Apply(ctx, 0, []byte("one"))
	require.NoError(t, err)
	old, _ := all["live"].Current()
	_, err = all["live"].Apply(ctx, 1, []byte("two"))
	require.NoError(t, err)
	restoreStore(t, store, old)

	settled := false
	fresh := New(store.Client(), WithPuller(peerPuller{all, "fresh"}), WithSettled(func() bool { return settled }))
	all["fresh"] = fresh
	var seen []uint64
	fresh.Subscribe(func(d revision.Document) { seen = append(seen, d.Revision) })
	runOnce(ctx, t, fresh)
	require.Empty(t, seen, "document in force before all peers sent their revision")
	fresh.ObserveRevision("live", 2)
	settled = true
	runOnce(ctx, t, fresh)
	require.Equal(t, []uint64{2}, seen)
}

// An edit is accepted at an instance that restarts before any other has it. Only the store
// has the new document, so it must be read before the peers' older one comes in force.
func TestRestartReadsStoreBeforeUsingPeers(t *testing.T) {
	tests := []struct {
		name string
		opts []Option
		want []uint64
	}{
		{name: "on", want: []uint64{2}},
		{name: "off", opts: []Option{func(d *Documents) { d.skipStoreRead = true }}, want: []uint64{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := t.Context()
			store := platformtest.New()
			all := peers{"behind": New(store)}
			_, err := all["behind"].Apply(ctx, 0, []byte("one"))
			require.NoError(t, err)
			_, err = New(store.Client()).Apply(ctx, 1, []byte("two"))
			require.NoError(t, err)

			watcher := WithWatcher(func() bool { return false })
			fresh := New(store.Client(), append(tt.opts, WithPuller(peerPuller{all, "fresh"}), watcher)...)
			all["fresh"] = fresh
			var seen []uint64
			fresh.Subscribe(func(d revision.Document) { seen = append(seen, d.Revision) })
			fresh.ObserveRevision(fleet.Instance("behind"), 1)
			runOnce(ctx, t, fresh)
			require.Equal(t, tt.want, seen)
		})
	}
}

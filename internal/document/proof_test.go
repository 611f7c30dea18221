package document

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

func withoutReadBack(d *Documents) { d.readBack = false }

// Operators apply documents concurrently through different instances, which freeze and restart
// without state, while the store is down or loses writes and replies. No instance may return
// to a lower revision, no accepted apply may be lost, no rejected one may come in force, and
// all instances must agree in the end.
func TestRevisionNeverFallsUnderRandomFaults(t *testing.T) {
	checkSimulations(t, func(t *rapid.T, w *simulation) { w.check(t) })
}

// Without reading back after a lost reply, an accepted document is lost or two documents get
// the same revision.
func TestRevisionNeedsReadBack(t *testing.T) {
	broken := 0
	checkSimulations(t, func(_ *rapid.T, w *simulation) {
		broken += len(w.violations) + w.countLost()
	}, withoutReadBack)
	require.Positive(t, broken)
}

// An instance restarts without state while the store is down. The first peer to respond was
// frozen and is behind; its document must not come in force before the other peers, which have
// a higher revision, have sent theirs.
func TestRestartIgnoresOlderDocument(t *testing.T) {
	tests := []struct {
		name    string
		settled bool // true turns the mechanism off: settled from the start
		want    []uint64
	}{
		{name: "on", want: []uint64{2}},
		{name: "off", settled: true, want: []uint64{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			store := platformtest.New()
			all := peers{"frozen": New(store), "live": New(store)}
			_, err := all["frozen"].Apply(ctx, 0, []byte("one"))
			require.NoError(t, err)
			_, err = all["live"].Apply(ctx, 1, []byte("two"))
			require.NoError(t, err)
			store.Server().SetFaults(standin.Faults{Down: true})

			settled := tt.settled
			fresh := New(store.Client(), WithPuller(peerPuller{all, "fresh"}), WithSettled(func() bool { return settled }))
			all["fresh"] = fresh
			var seen []uint64
			fresh.Subscribe(func(d revision.Document) { seen = append(seen, d.Revision) })
			for _, sender := range []fleet.Instance{"frozen", "live"} {
				current, _ := all[sender].Current()
				fresh.ObserveRevision(sender, current.Revision)
				fresh.pull(ctx)
				fresh.applyFirst(context.Background())
			}
			settled = true
			fresh.applyFirst(context.Background())
			require.Equal(t, tt.want, seen)
		})
	}
}

// Several operators expect the same revision concurrently: one succeeds, the others get
// ErrStale.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	ctx := context.Background()
	store := platformtest.New()
	first := New(store)
	_, err := first.Apply(ctx, 0, []byte("one"))
	require.NoError(t, err)
	results := make([]error, 8)
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			_, results[i] = New(store.Client()).Apply(ctx, 1, fmt.Append(nil, i))
			return nil
		})
	}
	require.NoError(t, group.Wait())
	winners := 0
	for _, err := range results {
		if err == nil {
			winners++
			continue
		}
		require.ErrorIs(t, err, revision.ErrStale)
		require.NotErrorIs(t, err, platform.ErrUncertain)
	}
	require.Equal(t, 1, winners)
}

func TestApplyWithLostMessages(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		faults standin.Faults
		want   error
	}{
		{name: "reply lost", faults: standin.Faults{LoseReply: 1}},
		{name: "write lost", faults: standin.Faults{LoseWrite: 1}},
		{name: "both", faults: standin.Faults{LoseReply: 1, LoseWrite: 2}},
		{name: "every write lost", faults: standin.Faults{LoseWrite: 100}, want: platform.ErrUncertain},
		{name: "down", faults: standin.Faults{Down: true}, want: platform.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := platformtest.New()
			store.Server().SetFaults(tt.faults)
			rev, err := New(store).Apply(ctx, 0, []byte("text"))
			require.ErrorIs(t, err, tt.want)
			if tt.want == nil {
				require.Equal(t, uint64(1), rev)
			}
		})
	}
}

// The reply to an apply is lost, and another operator's apply follows before the first one is
// read back: the first is still reported as accepted, since the document's history lists it.
func TestLostReplyIsFoundInHistory(t *testing.T) {
	ctx := context.Background()
	store := platformtest.New()
	other := store.Client()
	store.Server().SetFaults(standin.Faults{LoseReply: 1})
	reads := 0
	store.SetBeforeRequest(func(path string) {
		if strings.Contains(path, Key) {
			reads++
		}
		if reads == 2 {
			reads++
			_, err := New(other).Apply(ctx, 1, []byte("second"))
			require.NoError(t, err)
		}
	})
	rev, err := New(store).Apply(ctx, 0, []byte("first"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), rev)
}

// peers are instances that pull documents from each other.
type peers map[fleet.Instance]*Documents

// peerPuller is the Puller of one instance.
type peerPuller struct {
	peers peers
	own   fleet.Instance
}

func (p peerPuller) Pull(_ context.Context, from fleet.Instance, after uint64) (revision.Document, error) {
	raw, err := p.peers[from].Pack(after)
	if err != nil || raw == nil {
		return revision.Document{}, err
	}
	return p.peers[p.own].Unpack(raw)
}

// newPeers returns three instances that announce their revisions to each other, as heartbeats
// do: a is a watcher, b is not, and c is a watcher that the test starts later.
func newPeers(store *platformtest.Fake) peers {
	all := peers{}
	for _, name := range []fleet.Instance{"a", "b", "c"} {
		watcher := WithWatcher(func() bool { return name != "b" })
		all[name] = New(store.Client(), WithPuller(peerPuller{all, name}), watcher, WithRetryInterval(time.Millisecond))
	}
	for from, d := range all {
		d.Subscribe(func(doc revision.Document) { all.announce(from, doc.Revision) })
	}
	return all
}

// announce sends the revision in force at one instance to all others.
func (p peers) announce(from fleet.Instance, rev uint64) {
	for name, d := range p {
		if name != from {
			d.ObserveRevision(from, rev)
		}
	}
}

// A watcher follows the store, and other instances follow the watcher. An instance that starts
// while the store is down gets the document from its peers, whichever of them has read it: an
// instance without a document and without a peer to pull from reads the store too.
func TestRunFollowsStoreAndPeers(t *testing.T) {
	cases := []struct {
		name        string
		unreachable fleet.Instance // can't reach the store until after its outage
	}{
		{"either may read first", ""},
		{"only the watcher read", "b"},
		{"only the other read", "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { testRunFollows(t, tc.unreachable) })
	}
}

func testRunFollows(t *testing.T, unreachable fleet.Instance) {
	t.Helper()
	store := platformtest.New()
	all := newPeers(store)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	run := func(name fleet.Instance) {
		group.Go(func() error { return all[name].Run(ctx) })
	}
	setReachable := func(name fleet.Instance, reachable bool) {
		all[name].store.(*platformtest.Fake).SetUnreachable(!reachable)
	}
	if unreachable != "" {
		setReachable(unreachable, false)
	}
	run("a")
	run("b")
	_, err := New(store.Client()).Apply(ctx, 0, []byte("one"))
	require.NoError(t, err)
	waitFor(t, all["b"], 1)
	store.Server().SetFaults(standin.Faults{Down: true})
	run("c")
	waitFor(t, all["c"], 1)
	store.Server().SetFaults(standin.Faults{})
	if unreachable != "" {
		setReachable(unreachable, true)
	}
	_, err = New(store.Client()).Apply(ctx, 1, []byte("two"))
	require.NoError(t, err)
	waitFor(t, all["a"], 2)
	waitFor(t, all["b"], 2)
	cancel()
	require.ErrorIs(t, group.Wait(), context.Canceled)
}

func waitFor(t *testing.T, d *Documents, rev uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		current, _ := d.Current()
		return current.Revision == rev
	}, 5*time.Second, time.Millisecond)
}

// A store that was restored to an older document is overwritten with the one in force.
func TestRestoredStoreIsRepaired(t *testing.T) {
	ctx := context.Background()
	store := platformtest.New()
	d := New(store)
	for rev := range uint64(3) {
		_, err := d.Apply(ctx, rev, fmt.Append(nil, rev))
		require.NoError(t, err)
	}
	old, err := revision.Document{Revision: 1, ApplyID: "old", Text: []byte("old")}.Encode()
	require.NoError(t, err)
	entry, err := store.Get(ctx, Key)
	require.NoError(t, err)
	_, err = store.Swap(ctx, platform.Write{Key: Key, Value: old, Expect: entry.Version})
	require.NoError(t, err)
	entry, err = store.Get(ctx, Key)
	require.NoError(t, err)
	require.NoError(t, d.applyStored(ctx, entry))
	fresh := New(store.Client())
	doc, _, err := fresh.readStore(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(3), doc.Revision)
	current, _ := d.Current()
	require.Equal(t, uint64(3), current.Revision)
}

// A small edit of a large document is sent as a small message.
func TestPackSendsDelta(t *testing.T) {
	ctx := context.Background()
	text := profiles(760)
	store := platformtest.New()
	d := New(store)
	_, err := d.Apply(ctx, 0, []byte(text))
	require.NoError(t, err)
	old, _ := d.Current()
	edited := strings.Replace(text, "first = 470ms", "first = 480ms", 1)
	_, err = d.Apply(ctx, 1, []byte(edited))
	require.NoError(t, err)
	complete, err := d.Pack(0)
	require.NoError(t, err)
	delta, err := d.Pack(1)
	require.NoError(t, err)
	t.Logf("text %d bytes, complete %d bytes, delta %d bytes", len(text), len(complete), len(delta))
	require.Less(t, len(delta), 1024)
	got, err := unpack(delta, old)
	require.NoError(t, err)
	require.Equal(t, edited, string(got.Text))
	got, err = unpack(complete, revision.Document{})
	require.NoError(t, err)
	require.Equal(t, edited, string(got.Text))
	_, err = unpack(delta, revision.Document{Revision: 7})
	require.ErrorIs(t, err, ErrBaseMismatch)
	nothing, err := d.Pack(2)
	require.NoError(t, err)
	require.Nil(t, nothing)
}

// profiles returns the text of a document with a section for each model.
func profiles(models int) string {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for i := range models {
		fmt.Fprintf(&b, "[model m%d@%d]\nmemory = %dGiB\nfirst = 470ms\nbetween = 61ms\nrank = standard\n\n",
			i, random.IntN(9), random.IntN(80))
	}
	return b.String()
}

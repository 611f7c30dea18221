package gossip_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// landing is the landing whose messages go test -update LANDING writes; those of earlier ones stay.
var landing = flag.String("update", "", "write the golden messages of this landing")

// goldenMessage is a message whose fields all have values. The values stay as they are: messages of
// earlier landings are compared with them. A later field is added with a value of its own.
type goldenMessage struct {
	name    string
	message any
}

func goldenMessages() []goldenMessage {
	incarnation := gossip.Incarnation{Endpoint: "p-1", Born: 17}
	stamp := allotment.Stamp{Incarnation: "k1", At: 11 * time.Second}
	text := transfer.ID{Version: 7, Base: 5, Digest: 1 << 63}
	limit := gossip.Limit{Incarnation: incarnation, PerSecond: 2.5, Named: true, Age: 12 * time.Millisecond}
	heartbeat := goldenHeartbeat(incarnation, limit)
	return []goldenMessage{
		{"heartbeat", heartbeat},
		{"ack", &gossip.Ack{Catalog: 7, ConfirmedMs: 21}},
		{"fetch", &gossip.Fetch{Catalog: 7, Roster: 8, Deltas: true, Parts: true, Pages: true, After: "p-1"}},
		{"fetch-reply", &gossip.FetchReply{
			Catalog: []byte("text"), Roster: 8, Entries: []gossip.Entry{{ID: "p-1", Revision: 3, Text: []byte("entry")}},
			Delta: true, More: true, Removed: []gossip.Entry{{ID: "p-2", Revision: 4}},
		}},
		{"fetch-catalog", &gossip.FetchCatalog{Have: 5, Text: text, Offset: 100}},
		{"catalog-part", &gossip.CatalogPart{Part: transfer.Part{ID: text, Size: 200, Offset: 100, Data: []byte("part")}}},
		{"push-catalog", &gossip.PushCatalog{Part: transfer.Part{ID: text, Size: 4, Data: []byte("text"), Offset: 0}}},
		{"push-reply", &gossip.PushReply{}},
		{"ensure", &gossip.Ensure{Endpoint: "p-1", Born: 17, Model: "m", Adapter: "a"}},
		{"ensure-reply", &gossip.EnsureReply{Refused: "reason"}},
		{"portions", &gossip.Portions{Part: 1, Offer: allotment.Offer{Lender: "one", Share: 0.25, Stamp: stamp}, Wants: []allotment.Want{{
			Workspace: "w", Amount: 3.5, Min: 1.5, Urgent: true, Refused: 2.5, Returns: []allotment.Return{{ID: 9, Amount: 0.5}},
		}}}},
		{"portions-reply", &gossip.PortionsReply{Stamp: stamp, Grants: []allotment.Grant{{Workspace: "w", ID: 9, Amount: 3.5, Wait: 13 * time.Millisecond, Askers: 2}}, Successor: &allotment.Successor{Instance: "two", Stamp: stamp}}},
		{"origins", &gossip.Origins{Streams: []origin.Stream{{Service: "s", ID: "r1", Software: "v1"}}}},
		{"origins-reply", &gossip.OriginsReply{}},
		{"find-origin", &gossip.FindOrigin{Service: "s", ID: "r1"}},
		{"find-origin-reply", &gossip.FindOriginReply{Known: true, Software: "v1", Versions: []fleet.Software{"v1", "v2"}, Settled: true}},
		{"admit", &gossip.Admit{
			Endpoint: "p-1", Born: 17, Level: 2, Work: 14 * time.Millisecond, Run: 15 * time.Millisecond, Limit: 16 * time.Millisecond, Rate: &limit,
			Late:   &gossip.Late{ID: 31, Waited: 80 * time.Millisecond, Patience: 90 * time.Millisecond, Asked: true, Last: true, Yields: true, Withdrawn: true},
			Prompt: []gossip.Prefix{{Key: 1 << 62, Tokens: 47}}, Tokens: 48, Uncached: 49,
			Usage: &fairshare.Usage{Workspace: 32, Recent: 33.5, Usual: 34.5}, Slowness: 130,
			Answers: []gossip.Answer{{Endpoint: "p-1", Born: 17, Ratio: 140, LateMs: 43, DelayMs: 44}},
		}},
		{"admit-reply", &gossip.AdmitReply{
			Wait: 17 * time.Millisecond, Refused: true, Hold: 18 * time.Millisecond, Limited: true,
			Backlog: gossip.BacklogWork{35, 36, 37}, Late: true, AskAgain: 38 * time.Millisecond, Ahead: 39, Yields: true,
			Return: 45 * time.Millisecond, Slowness: 150, DelayMs: 46, Work: 50 * time.Millisecond,
		}},
		{"relay-open", &gossip.RelayFrame{Open: &gossip.Relay{Endpoint: "p-1", Born: 17}}},
		{"relay-data", &gossip.RelayFrame{Outcome: "connected", Data: []byte("data")}},
		{"hand-over", &gossip.HandOver{Part: 1, Handover: allotment.Handover{
			Stamp: stamp, Shares: []allotment.HandedShare{{Lender: "one", Share: 0.25, Left: 51 * time.Millisecond}},
			Accounts: []allotment.HandedAccount{{Workspace: "w", Level: 5.5, Outstanding: 6.5}},
		}}},
		{"hand-over-reply", &gossip.HandOverReply{Stamp: stamp, Taken: true}},
	}
}

func goldenHeartbeat(incarnation gossip.Incarnation, limit gossip.Limit) *gossip.Heartbeat {
	place := fleet.Place{Region: "south", DataCentre: "a"}
	return &gossip.Heartbeat{
		Peer:  member.Peer{Instance: "one", Incarnation: "k1", Place: place, Address: "10.1.0.1:1", Caller: "10.1.0.1:2", Sequence: 4, Revision: 7, Leaving: true},
		Place: place, Sent: 10 * time.Second, Ready: true, StoreReachable: true, CutOff: true, Catalog: 7, Roster: 8,
		Loads:  map[fleet.Endpoint]balance.Load{"p-1": {Running: 3, Pending: [3]time.Duration{1, 2, 3}}},
		Uses:   []balance.Use{{Endpoint: "p-1", Model: "m", Adapter: "a"}},
		Demand: []gossip.Demand{{Model: "m", Adapter: "a", Tokens: 400, LongTerm: 300}},
		Reports: []gossip.Report{{Endpoint: "p-1", Age: 20 * time.Millisecond, Report: roster.Report{
			Models: []roster.Holding{{Model: "m", Adapters: []fleet.Adapter{"a"}}}, Coming: []roster.Adapter{{Model: "m", Adapter: "b"}},
			Busy: true, Seq: 5, Born: 17, Running: 6, Queued: 7, Used: 800, Total: 900, AtHand: []fleet.Model{"n"}, Leaving: true, Taken: time.Unix(1_000_000, 0).UTC(),
		}}},
		Leaving: []gossip.Incarnation{incarnation}, Failed: []gossip.Incarnation{{Endpoint: "p-2", Born: 18}},
		HoldsOrderLease: true, Fence: 6,
		Holder:     &gossip.Holder{Instance: "two", Address: "10.1.0.2:1", Fence: 6, MayOrder: true, Age: 30 * time.Millisecond},
		Suspicions: []member.Suspicion{{Instance: "two", Incarnation: "k2", Sequence: 3, By: "one"}},
		Retiring:   []gossip.Retirement{{Endpoint: "p-1", Model: "m"}},
		Limits:     []gossip.Limit{limit},
		Backlogs:   []gossip.Backlog{{Endpoint: "p-1", Work: gossip.BacklogWork{40, 41, 42}, Slowness: 160}},
		Contact:    &gossip.Contact{SinceMs: 43, UntilMs: 44, Era: 1},
		Queues:     []gossip.Queue{{From: "r", WaitMs: 45}},
		Ended: []gossip.EndpointCrash{{Incarnation: "p-1/17", FailedAgo: 40 * time.Millisecond, Runs: []gossip.CrashedRun{{
			Keys: []suspect.Key{"part x"}, Age: 50 * time.Millisecond, Begun: true,
		}}}},
		Begun:    []gossip.BegunKey{{Key: "part x", Ago: 60 * time.Millisecond}},
		Verdicts: []gossip.Verdict{{Key: "part x", Crashes: 4, Reviews: 1, FailedAgo: 70 * time.Millisecond, Provisional: true}},
	}
}

// goldenFiles returns the files of all landings.
func goldenFiles(tb testing.TB) []string {
	tb.Helper()
	files, err := filepath.Glob("testdata/messages/*.txt")
	require.NoError(tb, err)
	require.NotEmpty(tb, files)
	return files
}

// goldenTexts returns the messages of a landing by name.
func goldenTexts(tb testing.TB, file string) map[string][]byte {
	tb.Helper()
	lines, err := os.ReadFile(file)
	require.NoError(tb, err)
	texts := make(map[string][]byte)
	for line := range strings.Lines(string(lines)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		texts[name], err = hex.DecodeString(digits)
		require.NoError(tb, err)
	}
	return texts
}

func asMap(t *testing.T, text []byte) any {
	t.Helper()
	var v any
	require.NoError(t, cbor.Unmarshal(text, &v))
	return v
}

// contains reports whether a message has every field of another with the same value.
func contains(whole, part any) bool {
	switch p := part.(type) {
	case map[any]any:
		w, ok := whole.(map[any]any)
		for key, value := range p {
			ok = ok && contains(w[key], value)
		}
		return ok
	case []any:
		w, ok := whole.([]any)
		ok = ok && len(w) == len(p)
		for i := 0; ok && i < len(p); i++ {
			ok = contains(w[i], p[i])
		}
		return ok
	default:
		return reflect.DeepEqual(whole, part)
	}
}

// Messages of earlier landings mean what they meant, and no field of them is lost.
func TestMessagesOfEarlierLandings(t *testing.T) {
	if *landing != "" {
		writeGolden(t, *landing)
	}
	for _, file := range goldenFiles(t) {
		texts := goldenTexts(t, file)
		named := make(map[string]bool)
		for _, g := range goldenMessages() {
			text, ok := texts[g.name]
			if !ok {
				continue // of a later landing
			}
			named[g.name] = true
			t.Run(filepath.Base(file)+" "+g.name, func(t *testing.T) {
				got := reflect.New(reflect.TypeOf(g.message).Elem()).Interface()
				require.NoError(t, cbor.Unmarshal(text, got))
				again, err := cbor.Marshal(got)
				require.NoError(t, err)
				assert.True(t, contains(asMap(t, again), asMap(t, text)), "read as %s", normalized(t, got))
				now, err := cbor.Marshal(g.message)
				require.NoError(t, err)
				assert.True(t, contains(asMap(t, now), asMap(t, text)), "is written as %s", normalized(t, g.message))
			})
		}
		for name := range texts {
			assert.True(t, named[name], "%s: message %s is no longer read", file, name)
		}
	}
}

// The newest landing's messages are those of this build, apart from fields that it adds.
func TestGoldenMessagesHaveAllFields(t *testing.T) {
	for _, g := range goldenMessages() {
		switch g.name {
		case "origins-reply", "relay-open", "relay-data":
			continue // empty, or with some fields only by turns
		}
		v := reflect.ValueOf(g.message).Elem()
		for i := range v.NumField() {
			field := v.Type().Field(i).Name
			if g.name == "heartbeat" && (field == "Features" || field == "Build") {
				continue // named by each build for itself
			}
			assert.False(t, v.Field(i).IsZero(), "%s has no value in the golden message %s", field, g.name)
		}
	}
}

func writeGolden(t *testing.T, landing string) {
	t.Helper()
	var b strings.Builder
	for _, g := range goldenMessages() {
		text, err := cbor.Marshal(g.message)
		require.NoError(t, err)
		fmt.Fprintf(&b, "%s %x\n", g.name, text)
	}
	require.NoError(t, os.MkdirAll("testdata/messages", 0o755))
	require.NoError(t, os.WriteFile("testdata/messages/"+landing+".txt", []byte(b.String()), 0o600))
}

// Any bytes are read without a panic, and what was read is read again as the same.
func FuzzMessages(f *testing.F) {
	messages := goldenMessages()
	for _, file := range goldenFiles(f) {
		texts := goldenTexts(f, file)
		for i, g := range messages {
			f.Add(uint(i), texts[g.name])
		}
	}
	f.Fuzz(func(t *testing.T, index uint, text []byte) {
		message := messages[index%uint(len(messages))].message
		got := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if cbor.Unmarshal(text, got) != nil {
			return
		}
		once, err := cbor.Marshal(got)
		require.NoError(t, err)
		again := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		require.NoError(t, cbor.Unmarshal(once, again))
		assert.Equal(t, normalized(t, got), normalized(t, again))
		if b, ok := got.(*gossip.Heartbeat); ok {
			packed, err := gossip.Pack(b)
			require.NoError(t, err)
			_, err = packed.Unpack()
			require.NoError(t, err)
		}
	})
}

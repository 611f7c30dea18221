package profile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sample = `
[profile "match"]
class = match
rank = standard
first = 2s
deadline = 30s
models = matcher-*
services = handover
cap = 0.6
retries = 2

[profile "chat"]
class = chat
rank = urgent
first = 300ms
gap = 50ms
models = matcher-a, board

[model "matcher-a"]
bytes = 14GiB
adapter = 200MiB
cache = 2GiB
service = matcher
copies = 2
adapters = glove, scarf

[model "board"]
bytes = 7GiB
service = board-app
adapters = 3
versions = 1, 2

[service "handover"]
repeat = no
`

const canonical = `[profile "chat"]
class = chat
rank = urgent
first = 300ms
gap = 50ms
models = matcher-a, board

[profile "match"]
class = match
rank = standard
first = 2s
deadline = 30s
models = matcher-*
services = handover
cap = 0.6
retries = 2

[model "board"]
bytes = 7GiB
service = board-app
adapters = 3
versions = 1, 2

[model "matcher-a"]
bytes = 14GiB
adapter = 200MiB
cache = 2GiB
service = matcher
copies = 2
adapters = glove, scarf

[service "handover"]
repeat = no
`

func parse(t *testing.T, text string) Document {
	t.Helper()
	d, err := Parse("doc", []byte(text))
	require.NoError(t, err)
	return d
}

func TestParse(t *testing.T) {
	d := parse(t, sample)
	p, found := d.Profile("chat")
	require.True(t, found)
	assert.Equal(t, Profile{
		Name: "chat", Class: "chat", Rank: RankUrgent, First: 300 * time.Millisecond, Gap: 50 * time.Millisecond,
		Deadline: time.Minute, Models: []string{"matcher-a", "board"}, Cap: 1, Retries: 1,
	}, p)
	m, found := d.Model("board")
	require.True(t, found)
	assert.Equal(t, Model{
		Name: "board", Bytes: 7 << 30, Service: "board-app", Copies: 1,
		Adapters: []string{"1", "2", "3"}, Versions: []string{"1", "2"},
	}, m)
	s, found := d.Service("handover")
	require.True(t, found)
	assert.False(t, s.Repeat)
	_, found = d.Profile("none")
	assert.False(t, found)
}

func TestCanonicalForm(t *testing.T) {
	d := parse(t, sample)
	assert.Equal(t, canonical, d.String())
	assert.Equal(t, d, parse(t, canonical))
}

func TestMayUse(t *testing.T) {
	d := parse(t, sample)
	match, _ := d.Profile("match")
	chat, _ := d.Profile("chat")
	assert.True(t, match.MayUse("matcher-a"))
	assert.False(t, match.MayUse("board"))
	assert.True(t, chat.MayUse("board"))
	assert.True(t, match.MayCall("handover"))
	assert.False(t, chat.MayCall("handover"))
}

func TestResolve(t *testing.T) {
	d := parse(t, sample)
	tests := []struct {
		name    string
		found   bool
		loaded  string
		adapter string
	}{
		{"matcher-a", true, "matcher-a", ""},
		{"matcher-a/glove", true, "matcher-a", "glove"},
		{"matcher-a/mitten", false, "", ""},
		{"matcher-a@1", false, "", ""},
		{"matcher-a/", false, "", ""},
		{"board", true, "board@2", ""},
		{"board@1", true, "board@1", ""},
		{"board@1/3", true, "board@1", "3"},
		{"board@", false, "", ""},
		{"board@/3", false, "", ""},
		{"board@3", false, "", ""},
		{"none", false, "", ""},
		{"", false, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, found := d.Resolve(tt.name)
			require.Equal(t, tt.found, found)
			if found {
				assert.Equal(t, tt.loaded, string(got.LoadedModel()))
				assert.Equal(t, tt.adapter, got.Adapter)
			}
		})
	}
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name string
		from string // text of the sample that is replaced by the next field
		to   string
		want string
	}{
		{"unknown key", "gap = 50ms", "gasp = 50ms", `doc: [profile "chat"] gasp: unknown key, want one of class, rank, first, gap, deadline, models, services, cap, retries`},
		{"unknown kind", `[service "handover"]`, `[server "handover"]`, `doc: [server "handover"]: unknown section, want [profile "NAME"], [model "NAME"] or [service "NAME"]`},
		{"no label", `[service "handover"]`, `[service handover]`, `doc: [service handover]: unknown section, want [profile "NAME"], [model "NAME"] or [service "NAME"]`},
		{"bad rank", "rank = urgent", "rank = first", `doc: [profile "chat"] rank: got "first", want one of urgent, standard, bulk`},
		{"missing rank", "rank = urgent\n", "", `doc: [profile "chat"] rank: missing, want one of urgent, standard, bulk`},
		{"unknown model", "matcher-a, board", "matcher-b", `doc: [profile "chat"] models: got "matcher-b", want a model of this document`},
		{"empty pattern", "matcher-*", "design-*", `doc: [profile "match"] models: got "design-*", want a model of this document`},
		{"inner star", "matcher-*", "match*er", `doc: [profile "match"] models: got "match*er", want a comma list of models, each a name or a prefix with * at its end`},
		{"unknown service", "services = handover", "services = orders", `doc: [profile "match"] services: got "orders", want a service of this document`},
		{"cap zero", "cap = 0.6", "cap = 0", `doc: [profile "match"] cap: got "0", want a share above 0, 1 at most`},
		{"no unit", "14GiB", "14", `doc: [model "matcher-a"] bytes: got "14", want a size with a unit B, KiB, MiB, GiB or TiB, such as 8MiB, 1B at least`},
		{"target beyond deadline", "first = 2s", "first = 2m", `doc: [profile "match"] first: got 2m, want deadline or less, 30s`},
		{"repeat word", "repeat = no", "repeat = maybe", `doc: [service "handover"] repeat: got "maybe", want yes or no`},
		{"duplicate adapter", "glove, scarf", "glove, glove", `doc: [model "matcher-a"] adapters: got "glove, glove", want a comma list of names, or a count up to 10000`},
		{"no models or services", "models = matcher-a, board\n", "", `doc: [profile "chat"] models: missing, want models or services that the profile may reach`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(sample, tt.from, tt.to, 1)
			require.NotEqual(t, sample, text)
			_, err := Parse("doc", []byte(text))
			require.EqualError(t, err, tt.want)
		})
	}
}

func TestParseLimits(t *testing.T) {
	_, err := Parse("doc", nil)
	require.EqualError(t, err, `doc: no profile, want one [profile "NAME"] or more`)
	_, err = Parse("doc", make([]byte, Limit+1))
	require.EqualError(t, err, "doc: got 524289 bytes, want 512KiB at most")
	_, err = Parse("doc", []byte(sample+"[service \"handover\"]\nrepeat = no\n"))
	require.Error(t, err)
}

func TestDiff(t *testing.T) {
	a := parse(t, sample)
	text := strings.Replace(sample, "gap = 50ms\n", "", 1)
	text = strings.Replace(text, "copies = 2", "copies = 3", 1)
	text = strings.Replace(text, `[model "board"]`, "[service \"stock\"]\nrepeat = yes\n[model \"board\"]", 1)
	b := parse(t, text)
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	assert.Equal(t, []string{
		`[model "matcher-a"] copies: 2 -> 3`,
		`[profile "chat"] gap: 50ms -> 0s`,
		`[service "stock"] added`,
	}, lines)
	assert.Equal(t, ChangeRemoved, Diff(b, a)[2].Kind)
	assert.Empty(t, Diff(a, a))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[profile \"a\"]\nclass = a\nrank = bulk\nservices = s\n[service \"s\"]\nrepeat = yes\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("doc", text)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\n\r") {
				t.Fatalf("error of more than one line: %q", err)
			}
			return
		}
		reparsed, err := Parse("doc", []byte(d.String()))
		require.NoError(t, err)
		require.Equal(t, d.String(), reparsed.String())
		require.Empty(t, Diff(d, reparsed))
	})
}

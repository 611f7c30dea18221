package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

const document = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = *
services = stock

[profile "orders"]
class = order
rank = standard
models = *
services = order, stock

[profile "night"]
class = match
rank = bulk
models = matcher-*

[model "matcher-a"]
bytes = 4GiB
service = matcher

[model "board-b"]
bytes = 4GiB
service = board

[service "stock"]
repeat = yes

[service "order"]
repeat = no
`

// oneModel is a document for a single endpoint.
const oneModel = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = matcher-a

[profile "night"]
class = match
rank = bulk
models = matcher-*

[model "matcher-a"]
bytes = 4GiB
service = matcher
`

// twoRegions is a deployment with two data centres in one region and one in another.
func twoRegions(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, "matcher", "board", "order", "stock")
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.engine("m2", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.engine("m3", "matcher", "south", "south-2", engine.WithModels("matcher-a"))
	b.engine("b1", "board", "north", "north-1", engine.WithModels("board-b"))
	b.orders = b.service("order", "south", "south-1")
	b.service("stock", "north", "north-1")
	b.add("s1a", "south", "south-1")
	b.add("s1b", "south", "south-1")
	b.add("s2a", "south", "south-2")
	b.add("n1a", "north", "north-1")
	b.apply(b.nodes[0], 0, document)
	b.ready()
	return b
}

// text joins the contents of a chat answer, streamed or not, and tells whether it is whole.
func text(t *testing.T, body []byte) (string, bool) {
	t.Helper()
	var whole struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(body, &whole) == nil && len(whole.Choices) > 0 {
		return whole.Choices[0].Message.Content, true
	}
	answer, done := "", false
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			done = true
			continue
		}
		if ok {
			answer += delta(data)
		}
	}
	return answer, done
}

func delta(data string) string {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func (b *bench) explain(r reply) string {
	trail, err := b.operators(b.nodes[0]).Explain(b.t.Context(), r.header.Get("Chiveramp-Request"))
	text := fmt.Sprintf("%s\n%v", r.body, err)
	for _, s := range trail.Steps {
		text += fmt.Sprintf("\n%s %s %s %s %s", s.Time.Format("05.000"), s.Instance, s.Step, s.Peer, s.Decision)
	}
	return text
}

func (b *bench) requireChat(t *testing.T, address, profile, model, prompt string, stream bool) reply {
	t.Helper()
	r, err := send(t.Context(), address, "/v1/chat/completions", chatBody(model, prompt, stream, 20), "Chiveramp-Profile", profile)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, b.explain(r))
	answer, whole := text(t, r.body)
	require.True(t, whole)
	require.Equal(t, engine.AnswerTo(model, prompt, 20), answer)
	require.Equal(t, "ran", r.outcome)
	return r
}

func TestWholePath(t *testing.T) {
	b := twoRegions(t)
	for _, n := range b.nodes {
		for _, stream := range []bool{false, true} {
			b.requireChat(t, n.caller, "chat", "matcher-a", "glove "+n.name, stream)
			b.requireChat(t, n.caller, "orders", "board-b", "board "+n.name, stream)
		}
		body := strings.Repeat("kit ", 50000)
		r, err := send(t.Context(), n.caller, "/services/order/kits?x=1", body, "Chiveramp-Profile", "orders", "Idempotency-Key", "k-"+n.name)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, string(r.body))
		require.Contains(t, string(r.body), fmt.Sprintf(`"bytes":%d`, len(body)))
		again, err := send(t.Context(), n.caller, "/services/order/kits?x=1", body, "Chiveramp-Profile", "orders", "Idempotency-Key", "k-"+n.name)
		require.NoError(t, err)
		require.Equal(t, string(r.body), string(again.body))
		require.Equal(t, 1, b.orders.Counts().Keys["k-"+n.name])
	}
}

// Before a document tells what a service is, the system sends it nothing.
func TestPlainServiceIsNeverAskedAsAnEngine(t *testing.T) {
	b := newBench(t, "matcher", "order")
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.orders = b.service("order", "south", "south-1")
	n := b.add("s1a", "south", "south-1")
	b.eventually("list is read", func() bool {
		status, err := b.operators(n).Status(t.Context())
		return err == nil && len(status.Endpoints) == 2
	})
	time.Sleep(2 * time.Second)
	require.Empty(t, b.orders.Counts().Paths)
	b.apply(n, 0, oneModel+orderService)
	b.ready()
	require.Empty(t, b.orders.Counts().Paths)
}

func TestBadInput(t *testing.T) {
	b := newBench(t, "matcher")
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	n := b.add("s1a", "south", "south-1")
	b.apply(n, 0, oneModel)
	b.ready()
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{name: "broken JSON", path: "/v1/chat/completions", body: "{", status: 400, code: "bad-json"},
		{name: "no model", path: "/v1/chat/completions", body: "{}", status: 400, code: "bad-json"},
		{name: "unknown profile", path: "/v1/chat/completions", body: chatBody("matcher-a", "x", false, 1), headers: []string{"Chiveramp-Profile", "nobody"}, status: 404, code: "unknown-profile"},
		{name: "unknown model", path: "/v1/chat/completions", body: chatBody("nothing", "x", false, 1), headers: []string{"Chiveramp-Profile", "chat"}, status: 404, code: "unknown-model"},
		{name: "model out of reach", path: "/v1/chat/completions", body: chatBody("board-b", "x", false, 1), headers: []string{"Chiveramp-Profile", "night"}, status: 404, code: "unknown-model"},
		{name: "bad deadline", path: "/v1/chat/completions", body: chatBody("matcher-a", "x", false, 1), headers: []string{"Chiveramp-Profile", "chat", "Chiveramp-Deadline", "soon"}, status: 400, code: "bad-header"},
		{name: "oversized", path: "/v1/chat/completions", body: strings.Repeat("x", 9<<20), status: 413, code: "body-too-large"},
		{name: "unknown service", path: "/services/none/x", headers: []string{"Chiveramp-Profile", "chat"}, status: 404, code: "unknown-model"},
		{name: "no path", path: "/nothing", status: 404, code: "not-found"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := send(t.Context(), n.caller, tt.path, tt.body, tt.headers...)
			require.NoError(t, err)
			require.Equal(t, tt.status, r.status, string(r.body))
			require.Equal(t, tt.code, r.code())
			require.Equal(t, "not-run", r.outcome)
		})
	}
	b.requireChat(t, n.caller, "chat", "matcher-a", "still fine", true)
}

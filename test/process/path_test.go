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

const twoRegionDocument = `
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

// oneModelDocument is a document with one model in one service.
const oneModelDocument = `
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

// newTwoRegionDeployment starts two data centres in one region and one in another.
func newTwoRegionDeployment(t *testing.T) *deployment {
	t.Helper()
	b := newDeployment(t, "matcher", "board", "order", "stock")
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.addEngine("m2", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.addEngine("m3", "matcher", "south", "south-2", engine.WithModels("matcher-a"))
	b.addEngine("b1", "board", "north", "north-1", engine.WithModels("board-b"))
	b.orders = b.addService("order", "south", "south-1")
	b.addService("stock", "north", "north-1")
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.addInstance("s2a", "south", "south-2")
	b.addInstance("n1a", "north", "north-1")
	b.applyDocument(b.instances[0], 0, twoRegionDocument)
	b.waitReady()
	return b
}

// answerText returns the text of a chat answer, streamed or not, and whether it is complete.
func answerText(t *testing.T, body []byte) (string, bool) {
	t.Helper()
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(body, &completion) == nil && len(completion.Choices) > 0 {
		return completion.Choices[0].Message.Content, true
	}
	answer, done := "", false
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			done = true
			continue
		}
		if ok {
			answer += contentDelta(data)
		}
	}
	return answer, done
}

func contentDelta(data string) string {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func (dp *deployment) describe(r reply) string {
	decisions, err := dp.operatorClient(dp.instances[0]).Explain(dp.t.Context(), r.header.Get("Chiveramp-Request"))
	text := fmt.Sprintf("%s\n%v", r.body, err)
	for _, s := range decisions.Steps {
		text += fmt.Sprintf("\n%s %s %s %s %s", s.Time.Format("05.000"), s.Instance, s.Step, s.Peer, s.Decision)
	}
	return text
}

func (dp *deployment) requireChat(t *testing.T, address, profile, model, prompt string, stream bool) reply {
	t.Helper()
	r, err := sendRequest(t.Context(), address, "/v1/chat/completions", chatBody(model, prompt, stream, 20), "Chiveramp-Profile", profile)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, dp.describe(r))
	answer, complete := answerText(t, r.body)
	require.True(t, complete)
	require.Equal(t, engine.AnswerTo(model, prompt, 20), answer)
	require.Equal(t, "ran", r.outcome)
	return r
}

// Every instance serves chat requests for models and orders for services of its own and of
// other data centres. An order that is sent twice returns the recorded answer.
func TestRequestsThroughEveryInstance(t *testing.T) {
	b := newTwoRegionDeployment(t)
	for _, n := range b.instances {
		for _, stream := range []bool{false, true} {
			b.requireChat(t, n.caller, "chat", "matcher-a", "glove "+n.name, stream)
			b.requireChat(t, n.caller, "orders", "board-b", "board "+n.name, stream)
		}
		body := strings.Repeat("kit ", 50000)
		r, err := sendRequest(t.Context(), n.caller, "/services/order/kits?x=1", body, "Chiveramp-Profile", "orders", "Idempotency-Key", "k-"+n.name)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, string(r.body))
		require.Contains(t, string(r.body), fmt.Sprintf(`"bytes":%d`, len(body)))
		again, err := sendRequest(t.Context(), n.caller, "/services/order/kits?x=1", body, "Chiveramp-Profile", "orders", "Idempotency-Key", "k-"+n.name)
		require.NoError(t, err)
		require.Equal(t, string(r.body), string(again.body))
		require.Equal(t, 1, b.orders.Counts().Keys["k-"+n.name])
	}
}

// Guards against engine requests, such as state probes, to a plain service: until a document
// defines the service the system sends it nothing, and afterwards only callers' requests.
func TestServiceGetsNoEngineRequests(t *testing.T) {
	b := newDeployment(t, "matcher", "order")
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.orders = b.addService("order", "south", "south-1")
	n := b.addInstance("s1a", "south", "south-1")
	b.eventually("the platform's list is loaded", func() bool {
		status, err := b.operatorClient(n).Status(t.Context())
		return err == nil && len(status.Endpoints) == 2
	})
	time.Sleep(2 * time.Second)
	require.Empty(t, b.orders.Counts().Paths)
	b.applyDocument(n, 0, oneModelDocument+orderServiceSection)
	b.waitReady()
	require.Empty(t, b.orders.Counts().Paths)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	b := newDeployment(t, "matcher")
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	n := b.addInstance("s1a", "south", "south-1")
	b.applyDocument(n, 0, oneModelDocument)
	b.waitReady()
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
			r, err := sendRequest(t.Context(), n.caller, tt.path, tt.body, tt.headers...)
			require.NoError(t, err)
			require.Equal(t, tt.status, r.status, string(r.body))
			require.Equal(t, tt.code, r.errorCode())
			require.Equal(t, "not-run", r.outcome)
		})
	}
	b.requireChat(t, n.caller, "chat", "matcher-a", "still fine", true)
}

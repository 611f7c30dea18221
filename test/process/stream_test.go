package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	longTokens = 150
	longStep   = 10 * time.Millisecond
)

// signal sends a signal to the process of an instance.
func (n *instance) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, n.process.Process.Signal(s))
}

// follow reads a streamed answer until it ends or stop returns true, and
// returns the text, the last event's id, and whether the end marker came.
func follow(ctx context.Context, address, body string, stop func(events int) bool, headers ...string) (answer, last string, whole bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", "", false, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", "", false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", "", false, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	lines := bufio.NewScanner(response.Body)
	id, failed := "", false
	for events := 0; lines.Scan(); {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id = text
		}
		failed = failed || strings.HasPrefix(line, "event: error")
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			return answer, last, false, fmt.Errorf("explicit error: %s", data)
		}
		if data == "[DONE]" {
			return answer, last, true, nil
		}
		answer, last = answer+delta(data), id
		events++
		if stop != nil && stop(events) {
			return answer, last, false, nil
		}
	}
	return answer, last, false, lines.Err()
}

// southern is one data centre with three instances and two engines that serve one model.
func southern(t *testing.T, off switches.Mechanism) *bench {
	t.Helper()
	b := newBench(t, "matcher", "order")
	b.off = off
	b.southernFleet()
	return b
}

func (b *bench) southernFleet() {
	b.t.Helper()
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	b.engine("m2", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	b.orders = b.service("order", "south", "south-1")
	for _, name := range []string{"s1a", "s1b", "s1c"} {
		b.add(name, "south", "south-1")
	}
	b.apply(b.nodes[0], 0, oneModel+orderService)
	b.ready()
}

const orderService = `
[profile "orders"]
class = order
rank = standard
deadline = 30s
services = order

[service "order"]
repeat = no
`

// outsider returns an instance that dispatches neither of the two engines, so
// that each of its requests is dispatched by another instance.
func (b *bench) outsider() *instance {
	b.t.Helper()
	status, err := b.operators(b.nodes[0]).Status(b.t.Context())
	require.NoError(b.t, err)
	dispatches := make(map[string]bool)
	for _, d := range status.Dispatchers {
		dispatches[d.Instance] = dispatches[d.Instance] || d.Endpoint == "m1" || d.Endpoint == "m2"
	}
	for _, n := range b.nodes {
		if !dispatches[n.name] {
			return n
		}
	}
	b.t.Fatal("every instance dispatches an engine")
	return nil
}

func longChat(prompt string) string { return chatBody("matcher-a", prompt, true, longTokens) }

func TestStreamOutlivesItsEntry(t *testing.T) {
	b := southern(t, "")
	ctx, prompt := t.Context(), "entry dies"
	first, last, _, err := follow(ctx, b.nodes[0].caller, longChat(prompt), func(events int) bool {
		if events == 20 {
			b.nodes[0].signal(t, syscall.SIGKILL)
		}
		return events == 20
	}, "Chiveramp-Profile", "chat", "Chiveramp-Request", "r-entry")
	require.NoError(t, err)
	rest, _, whole, err := follow(ctx, b.nodes[1].caller, longChat(prompt), nil,
		"Chiveramp-Profile", "chat", "Chiveramp-Request", "r-entry", "Last-Event-ID", last)
	require.NoError(t, err)
	require.True(t, whole)
	require.Equal(t, engine.AnswerTo("matcher-a", prompt, longTokens), first+rest)
}

// longAnswers streams answers one after the other and returns how many were
// whole and right. Harm is done at a number of events of the first.
func (b *bench) longAnswers(from *instance, count int, harm func()) int {
	right := 0
	for i := range count {
		prompt := fmt.Sprint("long ", i)
		answer, _, whole, err := follow(b.t.Context(), from.caller, longChat(prompt), func(events int) bool {
			if events == 10 && i == 0 {
				harm()
			}
			return false
		}, "Chiveramp-Profile", "chat")
		if whole && err == nil && answer == engine.AnswerTo("matcher-a", prompt, longTokens) {
			right++
		} else {
			b.t.Logf("answer %d: whole %t, %v", i, whole, err)
		}
	}
	return right
}

// longAnswersAtOnce streams answers side by side and does harm while they run.
func (b *bench) longAnswersAtOnce(from *instance, count int, harm func()) int {
	var group errgroup.Group
	var right atomic.Int32
	for i := range count {
		prompt := fmt.Sprint("beside ", i)
		group.Go(func() error {
			answer, _, whole, err := follow(b.t.Context(), from.caller, longChat(prompt), nil, "Chiveramp-Profile", "chat")
			if whole && answer == engine.AnswerTo("matcher-a", prompt, longTokens) {
				right.Add(1)
			} else {
				b.t.Logf("answer %d: whole %t, %v", i, whole, err)
			}
			return nil
		})
	}
	time.Sleep(longTokens / 4 * longStep)
	harm()
	_ = group.Wait()
	return int(right.Load())
}

// proof is one run of a test with every mechanism on, or with one off.
type proof struct {
	off   switches.Mechanism
	holds bool
}

func proofs(off switches.Mechanism) []proof {
	return []proof{{off: off}, {holds: true}}
}

func (p proof) name() string {
	if p.off == "" {
		return "on"
	}
	return "without " + string(p.off)
}

func TestStreamOutlivesItsDispatcher(t *testing.T) {
	for _, p := range proofs(switches.Resume) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off+",continue")
			from := b.outsider()
			right := b.longAnswersAtOnce(from, 4, func() {
				for _, n := range b.nodes {
					if n != from {
						n.signal(t, syscall.SIGKILL)
					}
				}
			})
			require.Equal(t, p.holds, right == 4, "right: %d of 4", right)
		})
	}
}

func TestStreamOutlivesItsEngine(t *testing.T) {
	for _, p := range proofs(switches.Continue) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off)
			right := b.longAnswers(b.nodes[0], 1, func() {
				for _, e := range b.engines {
					if e.Counts().Tokens > 0 {
						_ = e.Close()
					}
				}
			})
			require.Equal(t, p.holds, right == 1)
		})
	}
}

// Each engine dies after the finish reason and before the end marker: all text was sent.
func TestFinishedAnswerOutlivesItsEngine(t *testing.T) {
	b := southern(t, "")
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{CrashBeforeDone: true})
	}
	require.Equal(t, 1, b.longAnswers(b.nodes[0], 1, func() {}))
}

func TestCutStreamsAreResumed(t *testing.T) {
	for _, p := range proofs(switches.Reconnect) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off+",continue")
			for _, e := range b.engines {
				e.SetFaults(engine.Faults{CutAfter: 700, Cuts: 3, CutClean: true})
			}
			right := b.longAnswers(b.nodes[0], 2, func() {})
			require.Equal(t, p.holds, right == 2)
		})
	}
}

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

func (n *instance) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, n.process.Process.Signal(s))
}

// streamChat reads a streamed answer until it ends or stop returns true, and returns the
// text, the ID of the last event and whether the end marker was received.
func streamChat(ctx context.Context, address, body string, stop func(events int) bool, headers ...string) (answer, lastID string, complete bool, err error) {
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
			return answer, lastID, false, fmt.Errorf("explicit error: %s", data)
		}
		if data == "[DONE]" {
			return answer, lastID, true, nil
		}
		answer, lastID = answer+contentDelta(data), id
		events++
		if stop != nil && stop(events) {
			return answer, lastID, false, nil
		}
	}
	return answer, lastID, false, lines.Err()
}

// newSouthDeployment starts one data centre with three instances, two engines that serve one
// model and a service, with one mechanism turned off in the instances.
func newSouthDeployment(t *testing.T, disabled switches.Mechanism) *deployment {
	t.Helper()
	b := newDeployment(t, "matcher", "order")
	b.disabled = disabled
	b.startSouth()
	return b
}

func (dp *deployment) startSouth() {
	dp.t.Helper()
	dp.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	dp.addEngine("m2", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	dp.orders = dp.addService("order", "south", "south-1")
	for _, name := range []string{"s1a", "s1b", "s1c"} {
		dp.addInstance(name, "south", "south-1")
	}
	dp.applyDocument(dp.instances[0], 0, oneModelDocument+orderServiceSection)
	dp.waitReady()
}

const orderServiceSection = `
[profile "orders"]
class = order
rank = standard
deadline = 30s
services = order

[service "order"]
repeat = no
`

// nonDispatcher returns an instance that is the dispatcher of neither engine, so that
// another instance dispatches each of its requests.
func (dp *deployment) nonDispatcher() *instance {
	dp.t.Helper()
	status, err := dp.operatorClient(dp.instances[0]).Status(dp.t.Context())
	require.NoError(dp.t, err)
	dispatches := make(map[string]bool)
	for _, d := range status.Dispatchers {
		dispatches[d.Instance] = dispatches[d.Instance] || d.Endpoint == "m1" || d.Endpoint == "m2"
	}
	for _, n := range dp.instances {
		if !dispatches[n.name] {
			return n
		}
	}
	dp.t.Fatal("every instance dispatches an engine")
	return nil
}

func longChatBody(prompt string) string { return chatBody("matcher-a", prompt, true, longTokens) }

// Guards against a lost stream when its entry is killed: the caller reconnects to another
// instance with Last-Event-ID and must receive exactly the rest of the answer.
func TestStreamResumesAfterEntryDies(t *testing.T) {
	b := newSouthDeployment(t, "")
	ctx, prompt := t.Context(), "entry dies"
	first, lastID, _, err := streamChat(ctx, b.instances[0].caller, longChatBody(prompt), func(events int) bool {
		if events == 20 {
			b.instances[0].signal(t, syscall.SIGKILL)
		}
		return events == 20
	}, "Chiveramp-Profile", "chat", "Chiveramp-Request", "r-entry")
	require.NoError(t, err)
	rest, _, complete, err := streamChat(ctx, b.instances[1].caller, longChatBody(prompt), nil,
		"Chiveramp-Profile", "chat", "Chiveramp-Request", "r-entry", "Last-Event-ID", lastID)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, engine.AnswerTo("matcher-a", prompt, longTokens), first+rest)
}

// streamLongAnswers streams answers one after the other and returns how many were complete
// and correct. It injects the fault after ten events of the first answer.
func (dp *deployment) streamLongAnswers(from *instance, count int, fault func()) int {
	correct := 0
	for i := range count {
		prompt := fmt.Sprint("long ", i)
		answer, _, complete, err := streamChat(dp.t.Context(), from.caller, longChatBody(prompt), func(events int) bool {
			if events == 10 && i == 0 {
				fault()
			}
			return false
		}, "Chiveramp-Profile", "chat")
		if complete && err == nil && answer == engine.AnswerTo("matcher-a", prompt, longTokens) {
			correct++
		} else {
			dp.t.Logf("answer %d: complete %t, %v", i, complete, err)
		}
	}
	return correct
}

// streamLongAnswersInParallel streams answers concurrently, injects the fault while they run
// and returns how many were complete and correct.
func (dp *deployment) streamLongAnswersInParallel(from *instance, count int, fault func()) int {
	var group errgroup.Group
	var correct atomic.Int32
	for i := range count {
		prompt := fmt.Sprint("beside ", i)
		group.Go(func() error {
			answer, _, complete, err := streamChat(dp.t.Context(), from.caller, longChatBody(prompt), nil, "Chiveramp-Profile", "chat")
			if complete && answer == engine.AnswerTo("matcher-a", prompt, longTokens) {
				correct.Add(1)
			} else {
				dp.t.Logf("answer %d: complete %t, %v", i, complete, err)
			}
			return nil
		})
	}
	time.Sleep(longTokens / 4 * longStep)
	fault()
	_ = group.Wait()
	return int(correct.Load())
}

// mechanismCase is one run of a test, with every mechanism on or with one turned off. The
// guarantee must hold in the first case and fail in the second, which shows that the
// mechanism provides it.
type mechanismCase struct {
	disabled switches.Mechanism
	holds    bool
}

func withAndWithout(disabled switches.Mechanism) []mechanismCase {
	return []mechanismCase{{disabled: disabled}, {holds: true}}
}

func (m mechanismCase) name() string {
	if m.disabled == "" {
		return "on"
	}
	return "without " + string(m.disabled)
}

// Guards against a lost stream when its dispatcher is killed: the entry must resume it
// through another dispatcher. The continue mechanism, which could also complete the answer, is
// off.
func TestStreamContinuesAfterDispatcherDies(t *testing.T) {
	for _, p := range withAndWithout(switches.Resume) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled+",continue")
			from := b.nonDispatcher()
			correct := b.streamLongAnswersInParallel(from, 4, func() {
				for _, n := range b.instances {
					if n != from {
						n.signal(t, syscall.SIGKILL)
					}
				}
			})
			require.Equal(t, p.holds, correct == 4, "correct: %d of 4", correct)
		})
	}
}

// Guards against a cut answer when its engine dies: another engine must continue it.
func TestStreamContinuesAfterEngineDies(t *testing.T) {
	for _, p := range withAndWithout(switches.Continue) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			correct := b.streamLongAnswers(b.instances[0], 1, func() {
				for _, e := range b.engines {
					if e.Counts().Tokens > 0 {
						_ = e.Close()
					}
				}
			})
			require.Equal(t, p.holds, correct == 1)
		})
	}
}

// Guards against a failed answer when the engine dies after the finish reason and before the
// end marker, when all text was already sent.
func TestFinishedAnswerIsCompleteAfterEngineDies(t *testing.T) {
	b := newSouthDeployment(t, "")
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{CrashBeforeDone: true})
	}
	require.Equal(t, 1, b.streamLongAnswers(b.instances[0], 1, func() {}))
}

// Guards against cut answers when the connection to an engine breaks cleanly several times:
// the dispatcher must reconnect and read on. The continue mechanism, which could also complete
// the answers, is off.
func TestCutStreamsAreResumed(t *testing.T) {
	for _, p := range withAndWithout(switches.Reconnect) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled+",continue")
			for _, e := range b.engines {
				e.SetFaults(engine.Faults{CutAfter: 700, Cuts: 3, CutClean: true})
			}
			correct := b.streamLongAnswers(b.instances[0], 2, func() {})
			require.Equal(t, p.holds, correct == 2)
		})
	}
}

package process

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/pkg/client"
)

const (
	clientStep   = 10 * time.Millisecond
	clientTokens = 100
)

const clientDocument = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = matcher-a

[profile "orders"]
class = order
rank = standard
deadline = 30s
services = order

[model "matcher-a"]
bytes = 4GiB
service = matcher

[service "order"]
repeat = no
`

// newClientDeployment starts one data centre with three instances, two engines and a
// service whose calls may not be repeated, and returns a client with the addresses of all
// instances.
func newClientDeployment(t *testing.T) (*deployment, *client.Client) {
	t.Helper()
	b := newDeployment(t, "matcher", "order")
	for _, name := range []string{"m1", "m2"} {
		b.addEngine(name, "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(clientStep))
	}
	b.orders = b.addService("order", "south", "south-1")
	var addresses []string
	for _, name := range []string{"c1", "c2", "c3"} {
		addresses = append(addresses, b.addInstance(name, "south", "south-1").caller)
	}
	b.applyDocument(b.instances[0], 0, clientDocument)
	b.waitReady()
	c := client.New(addresses, client.WithProfile("chat"))
	t.Cleanup(c.Close)
	return b, c
}

// streamAnswer reads one streamed answer through the client and compares its complete text
// with what the engine generates.
func streamAnswer(t *testing.T, c *client.Client, prompt string, events *atomic.Int64) error {
	t.Helper()
	body := []byte(chatBody("matcher-a", prompt, true, clientTokens))
	stream, err := c.Stream(t.Context(), client.Request{Path: "/v1/chat/completions", Body: body, Repeat: true})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	text := ""
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%s after %q: %w", prompt, text, err)
		}
		events.Add(1)
		text += contentDelta(string(event.Data))
	}
	if want := engine.AnswerTo("matcher-a", prompt, clientTokens); text != want {
		return fmt.Errorf("%s: %q, want %q", prompt, text, want)
	}
	return nil
}

func TestClientAnswersAreCompleteWhenInstancesAreKilled(t *testing.T) {
	b, c := newClientDeployment(t)
	entries, err := c.Entries(t.Context(), "chat")
	require.NoError(t, err)
	var group errgroup.Group
	var events atomic.Int64
	const streams = 8
	for i := range streams {
		group.Go(func() error { return streamAnswer(t, c, fmt.Sprint("killed ", i), &events) })
	}
	b.eventually("streams in progress", func() bool { return events.Load() > 10*streams })
	for _, n := range b.instances {
		if n.caller == entries[0].Address {
			require.NoError(t, n.process.Process.Signal(syscall.SIGKILL))
		}
	}
	require.NoError(t, group.Wait())
}

func TestClientOrdersRunOnceWhenInstancesAreKilled(t *testing.T) {
	b, c := newClientDeployment(t)
	entries, err := c.Entries(t.Context(), "orders")
	require.NoError(t, err)
	var group errgroup.Group
	const orders = 30
	for i := range orders {
		group.Go(func() error { return b.placeOrder(c, fmt.Sprint("key-", i)) })
		time.Sleep(5 * time.Millisecond)
		if i == orders/3 {
			for _, n := range b.instances {
				if n.caller == entries[0].Address {
					require.NoError(t, n.process.Process.Signal(syscall.SIGKILL))
				}
			}
		}
	}
	require.NoError(t, group.Wait())
	for key, count := range b.orders.Counts().Keys {
		require.Equal(t, 1, count, key)
	}
}

// placeOrder places one order and checks the outcome that the client reports against the
// number of runs that the service counted. An unknown outcome allows any number.
func (dp *deployment) placeOrder(c *client.Client, key string) error {
	response, err := c.Do(dp.t.Context(), client.Request{
		Method: http.MethodPost, Path: "/services/order/kits", Body: []byte("kit"), Profile: "orders", Key: key,
	})
	var failed *client.Error
	if errors.As(err, &failed) {
		return dp.checkOutcome(key, failed)
	}
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return nil // the connection broke: the order may have run
	}
	runs := dp.orders.Counts().Keys[key]
	if response.Status != http.StatusOK || response.FinalOutcome() != client.OutcomeRan || runs != 1 {
		return fmt.Errorf("%s: status %d, outcome %s, runs %d", key, response.Status, response.FinalOutcome(), runs)
	}
	return nil
}

func (dp *deployment) checkOutcome(key string, failed *client.Error) error {
	runs := dp.orders.Counts().Keys[key]
	if failed.Outcome == client.OutcomeNotRun && runs > 0 {
		return fmt.Errorf("%s ran %d times: %w", key, runs, failed)
	}
	dp.t.Logf("%s: runs %d: %v", key, runs, failed)
	return nil
}

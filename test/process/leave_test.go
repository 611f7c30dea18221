package process

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// noticed is within how long a leaving endpoint gets nothing new.
const noticed = 4 * time.Second

// An endpoint leaves by the platform's list alone; its requests in flight end whole.
func TestListedLeavingEndpointGetsNothingNew(t *testing.T) {
	for _, p := range proofs(switches.Leaving) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off)
			e := b.engines[0]
			var group errgroup.Group
			var right atomic.Int32
			for range 4 {
				group.Go(func() error { right.Add(int32(b.longAnswers(b.nodes[0], 1, func() {}))); return nil })
			}
			time.Sleep(200 * time.Millisecond)
			b.list("matcher", "m1", e.Address(), "south", "south-1", platform.MemberLeaving)
			_ = group.Wait()
			require.EqualValues(t, 4, right.Load())
			time.Sleep(noticed)
			before := len(e.Counts().Requests)
			for i := range 12 {
				b.requireChat(t, b.nodes[i%3].caller, "chat", "matcher-a", fmt.Sprint("after ", i), true)
			}
			require.Equal(t, p.holds, len(e.Counts().Requests) == before)
		})
	}
}

// An endpoint says itself that it leaves; a later "live" of the list changes nothing.
func TestEndpointThatSaysItLeavesGetsNothingNew(t *testing.T) {
	b := southern(t, "")
	e := b.engines[1]
	e.SetFaults(engine.Faults{Leaving: true})
	b.list("matcher", "m2", e.Address(), "south", "south-1", platform.MemberLive)
	before := len(e.Counts().Requests)
	for i := range 12 {
		b.requireChat(t, b.nodes[i%3].caller, "chat", "matcher-a", fmt.Sprint("self ", i), true)
	}
	require.Len(t, e.Counts().Requests, before)
	e.SetFaults(engine.Faults{})
	time.Sleep(noticed)
	b.requireChat(t, b.nodes[0].caller, "chat", "matcher-a", "still left", true)
	require.Len(t, e.Counts().Requests, before)
}

// load keeps sending short streams until the context ends and returns how many
// were sent and how many were answered whole. Each caller keeps one address for
// a second, as the system allows, and asks again for the next.
func (b *bench) load(ctx context.Context, callers int) (sent, whole *atomic.Int32, wait func()) {
	sent, whole = &atomic.Int32{}, &atomic.Int32{}
	var group errgroup.Group
	for c := range callers {
		group.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				b.ask(fmt.Sprintf("caller %d, %d", c, i), b.entry(), sent, whole)
			}
			return nil
		})
	}
	return sent, whole, func() { _ = group.Wait() }
}

func (b *bench) ask(prompt, address string, sent, whole *atomic.Int32) {
	sent.Add(1)
	answer, _, done, err := follow(context.Background(), address, chatBody("matcher-a", prompt, true, 12), nil, "Chiveramp-Profile", "chat")
	if done && err == nil && answer == engine.AnswerTo("matcher-a", prompt, 12) {
		whole.Add(1)
		return
	}
	if sent.Load()-whole.Load() < 5 {
		b.t.Logf("%s at %s: whole %t: %v", prompt, address, done, err)
	}
	time.Sleep(20 * time.Millisecond)
}

// entry asks the instances in turn which of them to use.
func (b *bench) entry() string {
	for {
		for _, n := range b.nodes {
			if address := entryOf(n); address != "" {
				return address
			}
		}
	}
}

func entryOf(n *instance) string {
	response, err := http.Get("http://" + n.caller + "/v1/entries?profile=chat")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Entries []struct{ Address string }
	}
	if decode(response.Body, &answer) != nil || len(answer.Entries) == 0 {
		return ""
	}
	return answer.Entries[0].Address
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	for _, p := range proofs(switches.Drain) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off)
			ctx, stop := context.WithCancel(t.Context())
			sent, whole, wait := b.load(ctx, 6)
			for _, n := range b.nodes {
				time.Sleep(300 * time.Millisecond)
				n.signal(t, syscall.SIGTERM)
				<-n.ended
				b.start(n)
				b.ready()
			}
			stop()
			wait()
			t.Logf("whole %d of %d", whole.Load(), sent.Load())
			require.Greater(t, sent.Load(), int32(30))
			require.Equal(t, p.holds, sent.Load() == whole.Load())
		})
	}
}

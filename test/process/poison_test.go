package process

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	poisonPrompt  = "KILLER"
	poisonProfile = "chat"
	// maxCrashes is the maximum number of crashes by design: the first makes the request a
	// suspect, the second marks it as a poison request, and one more attempt may already be
	// in flight on another endpoint.
	maxCrashes = 3
)

// engineRestarter replaces each crashed engine by a new one, as the platform does.
type engineRestarter struct {
	deployment *deployment
	mu         sync.Mutex
	crashes    int
	group      errgroup.Group
}

func (r *engineRestarter) startAndWatch(name string, number int) {
	e := r.deployment.addEngine(name, "matcher", "south", "south-1",
		engine.WithModels("matcher-a"), engine.WithStepTime(time.Millisecond), engine.WithFaults(engine.Faults{CrashOn: poisonPrompt}))
	r.deployment.platform.SetMember(matcherMember(name, e.Address(), fmt.Sprint(number)))
	r.group.Go(func() error {
		if e.Wait() == nil {
			return nil
		}
		r.mu.Lock()
		r.crashes++
		r.mu.Unlock()
		r.startAndWatch(name, number+1)
		return nil
	})
}

func (r *engineRestarter) crashCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// Guards against a poison request crashing one endpoint after another: a request that
// crashes every engine that runs it is sent repeatedly through all instances, with harmless
// requests in parallel. Crashes are limited and no harmless request may be lost.
func TestPoisonRequestIsRejected(t *testing.T) {
	for _, p := range withAndWithout(switches.Suspect) {
		t.Run(p.name(), func(t *testing.T) {
			b := newDeployment(t, "matcher")
			b.disabled = p.disabled
			r := &engineRestarter{deployment: b}
			for i := range 4 {
				r.startAndWatch(fmt.Sprint("e", i), 1)
			}
			for _, name := range []string{"s1a", "s1b", "s1c"} {
				b.addInstance(name, "south", "south-1")
			}
			b.applyDocument(b.instances[0], 0, oneModelDocument)
			b.waitReady()
			var lost atomic.Int32
			var group errgroup.Group
			until := time.Now().Add(6 * time.Second)
			for c := range 4 {
				group.Go(func() error {
					for i := 0; time.Now().Before(until); i++ {
						if !b.sendHarmless(b.instances[(c+i)%3], fmt.Sprintf("innocent %d %d", c, i)) {
							lost.Add(1)
						}
					}
					return nil
				})
			}
			code := ""
			for i := 0; time.Now().Before(until); i++ {
				answer, err := sendRequest(t.Context(), b.instances[i%3].caller, "/v1/chat/completions",
					chatBody("matcher-a", poisonPrompt, true, 20), "Chiveramp-Profile", poisonProfile)
				if err == nil {
					code = answer.errorCode()
				}
				time.Sleep(100 * time.Millisecond)
			}
			_ = group.Wait()
			t.Logf("crashes %d, harmless requests lost %d", r.crashCount(), lost.Load())
			require.Equal(t, p.holds, r.crashCount() <= maxCrashes)
			if p.holds {
				require.Equal(t, "request-convicted", code)
				require.Zero(t, lost.Load())
			}
		})
	}
}

// sendHarmless sends one harmless request, up to five times until it is answered completely.
func (dp *deployment) sendHarmless(n *instance, prompt string) bool {
	for range 5 {
		answer, _, complete, err := streamChat(dp.t.Context(), n.caller, chatBody("matcher-a", prompt, true, 20), nil, "Chiveramp-Profile", "chat")
		if complete && err == nil {
			return answer == engine.AnswerTo("matcher-a", prompt, 20)
		}
		dp.t.Logf("harmless request: %v", err)
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func matcherMember(name, address, incarnation string) memberRow {
	return memberRow{
		Service: "matcher", Name: name, Address: address, Region: "south", DataCentre: "south-1",
		Incarnation: incarnation, State: string(platform.MemberLive),
	}
}

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
	killerWord = "KILLER"
	killerRank = "chat"
	// deathLimit is the bound of the design: the first death makes a suspect, the
	// second convicts it; one more may already be on its way elsewhere.
	deathLimit = 3
)

// revivers starts a new engine in place of each one that crashed, as the platform does.
type reviver struct {
	b      *bench
	mu     sync.Mutex
	deaths int
	group  errgroup.Group
}

func (r *reviver) watch(name string, number int) {
	e := r.b.engine(name, "matcher", "south", "south-1",
		engine.WithModels("matcher-a"), engine.WithStepTime(time.Millisecond), engine.WithFaults(engine.Faults{CrashOn: killerWord}))
	r.b.platform.SetMember(member(name, e.Address(), fmt.Sprint(number)))
	r.group.Go(func() error {
		if e.Wait() == nil {
			return nil
		}
		r.mu.Lock()
		r.deaths++
		r.mu.Unlock()
		r.watch(name, number+1)
		return nil
	})
}

func (r *reviver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deaths
}

// A request that crashes every endpoint it runs on is sent again and again
// through all instances, with innocent requests beside it.
func TestKillerRequestIsConvicted(t *testing.T) {
	for _, p := range proofs(switches.Suspect) {
		t.Run(p.name(), func(t *testing.T) {
			b := newBench(t, "matcher")
			b.off = p.off
			r := &reviver{b: b}
			for i := range 4 {
				r.watch(fmt.Sprint("e", i), 1)
			}
			for _, name := range []string{"s1a", "s1b", "s1c"} {
				b.add(name, "south", "south-1")
			}
			b.apply(b.nodes[0], 0, oneModel)
			b.ready()
			var lost atomic.Int32
			var group errgroup.Group
			until := time.Now().Add(6 * time.Second)
			for c := range 4 {
				group.Go(func() error {
					for i := 0; time.Now().Before(until); i++ {
						if !b.innocent(b.nodes[(c+i)%3], fmt.Sprintf("innocent %d %d", c, i)) {
							lost.Add(1)
						}
					}
					return nil
				})
			}
			code := ""
			for i := 0; time.Now().Before(until); i++ {
				answer, err := send(t.Context(), b.nodes[i%3].caller, "/v1/chat/completions",
					chatBody("matcher-a", killerWord, true, 20), "Chiveramp-Profile", killerRank)
				if err == nil {
					code = answer.code()
				}
				time.Sleep(100 * time.Millisecond)
			}
			_ = group.Wait()
			t.Logf("deaths %d, innocents lost %d", r.count(), lost.Load())
			require.Equal(t, p.holds, r.count() <= deathLimit)
			if p.holds {
				require.Equal(t, "request-convicted", code)
				require.Zero(t, lost.Load())
			}
		})
	}
}

// innocent sends one harmless request, again while it is told not run.
func (b *bench) innocent(n *instance, prompt string) bool {
	for range 5 {
		answer, _, whole, err := follow(b.t.Context(), n.caller, chatBody("matcher-a", prompt, true, 20), nil, "Chiveramp-Profile", "chat")
		if whole && err == nil {
			return answer == engine.AnswerTo("matcher-a", prompt, 20)
		}
		b.t.Logf("innocent: %v", err)
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func member(name, address, incarnation string) memberRow {
	return memberRow{
		Service: "matcher", Name: name, Address: address, Region: "south", DataCentre: "south-1",
		Incarnation: incarnation, State: string(platform.MemberLive),
	}
}

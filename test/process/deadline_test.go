package process

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// More requests than two engines can answer by their callers' deadline: those
// that were still queued are told not run, at once and truly, and what ran is whole
// or unknown.
func TestQueuedPastTheirDeadlineAreToldNotRun(t *testing.T) {
	b := newBench(t, "matcher")
	for _, name := range []string{"m1", "m2"} {
		b.engine(name, "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	}
	b.slots = 2
	b.add("s1a", "south", "south-1")
	b.add("s1b", "south", "south-1")
	b.apply(b.nodes[0], 0, oneModel)
	b.ready()
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var group errgroup.Group
	begun := time.Now()
	for i := range 40 {
		group.Go(func() error {
			r, err := send(t.Context(), b.nodes[i%2].caller, "/v1/chat/completions",
				chatBody("matcher-a", fmt.Sprint("queue ", i), false, 100), "Chiveramp-Profile", "chat", "Chiveramp-Deadline", "3000")
			mu.Lock()
			defer mu.Unlock()
			outcomes[r.outcome+" "+r.code()]++
			return err
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("after %s: %v", time.Since(begun), outcomes)
	require.Less(t, time.Since(begun), 5*time.Second)
	started := len(b.engines[0].Counts().Requests) + len(b.engines[1].Counts().Requests)
	notRun := 0
	for outcome, n := range outcomes {
		if outcome[:min(7, len(outcome))] == "not-run" {
			notRun += n
		}
	}
	require.Equal(t, 40-started, notRun, "started %d: %v", started, outcomes)
	require.Positive(t, notRun)
}

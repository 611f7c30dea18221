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

// Guards against wrong or late outcomes under overload: callers send more requests than two
// engines can answer by the deadline. Exactly those that never started on an engine must be
// reported as not run, without waiting beyond the deadline.
func TestRequestsQueuedPastDeadlineAreNotRun(t *testing.T) {
	b := newDeployment(t, "matcher")
	for _, name := range []string{"m1", "m2"} {
		b.addEngine(name, "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	}
	b.slots = 2
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, oneModelDocument)
	b.waitReady()
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var group errgroup.Group
	start := time.Now()
	for i := range 40 {
		group.Go(func() error {
			r, err := sendRequest(t.Context(), b.instances[i%2].caller, "/v1/chat/completions",
				chatBody("matcher-a", fmt.Sprint("queue ", i), false, 100), "Chiveramp-Profile", "chat", "Chiveramp-Deadline", "3000")
			mu.Lock()
			defer mu.Unlock()
			outcomes[r.outcome+" "+r.errorCode()]++
			return err
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("after %s: %v", time.Since(start), outcomes)
	require.Less(t, time.Since(start), 5*time.Second)
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

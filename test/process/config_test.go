package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/standin/platform"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// propagationTimeout is the required time within which a document change is in force on
// every instance.
const propagationTimeout = 12 * time.Second

func (dp *deployment) revision(n *instance) uint64 {
	status, err := dp.operatorClient(n).Status(dp.t.Context())
	if err != nil {
		return 0
	}
	for _, i := range status.Instances {
		if i.Name == n.name {
			return i.Revision
		}
	}
	return 0
}

func documentWithComment(word string) string {
	return oneModelDocument + orderServiceSection + "\n; " + word + "\n"
}

func TestConcurrentAppliesOneWins(t *testing.T) {
	b := newSouthDeployment(t, "")
	var group errgroup.Group
	errs := make([]error, 3)
	for i, n := range b.instances {
		group.Go(func() error {
			_, errs[i] = b.operatorClient(n).Apply(t.Context(), operator.Edit{Expect: 1, Author: "operator-" + n.name, Text: documentWithComment(n.name)})
			return nil
		})
	}
	_ = group.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		var conflict *operator.ConflictError
		require.ErrorAs(t, err, &conflict, "%v", err)
		require.EqualValues(t, 2, conflict.Revision)
		require.Contains(t, conflict.Author, "operator-")
	}
	require.Equal(t, 1, won)
}

// Guards against an instance going back to an older document revision: one instance is
// frozen while a change is applied, another is killed and restarted while the store is
// down. Neither may report a lower revision, and both must reach the latest one.
func TestConfigurationNeverReverts(t *testing.T) {
	b := newSouthDeployment(t, "")
	frozen, killed := b.instances[1], b.instances[2]
	frozen.signal(t, syscall.SIGSTOP)
	start := time.Now()
	result, err := b.operatorClient(b.instances[0]).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: documentWithComment("two")})
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Revision)
	require.Less(t, time.Since(start), propagationTimeout+2*time.Second)
	frozen.signal(t, syscall.SIGCONT)
	b.eventually("frozen instance is up to date", func() bool { return b.revision(frozen) == 2 })

	b.platform.SetFaults(platform.Faults{Down: true})
	killed.signal(t, syscall.SIGKILL)
	<-killed.exited
	b.start(killed)
	b.eventually("restarted instance loads the document from its peers", func() bool {
		revision := b.revision(killed)
		require.NotEqualValues(t, 1, revision, "an old revision was in force")
		return revision == 2
	})
	_, err = b.operatorClient(killed).Apply(t.Context(), operator.Edit{Expect: 2, Author: "a", Text: documentWithComment("three")})
	require.Error(t, err)
	b.platform.SetFaults(platform.Faults{})
	b.eventually("apply after the outage", func() bool {
		_, err = b.operatorClient(killed).Apply(t.Context(), operator.Edit{Expect: 2, Author: "a", Text: documentWithComment("three")})
		return err == nil
	})
	for _, n := range b.instances {
		b.eventually("revision 3 at "+n.name, func() bool { return b.revision(n) == 3 })
	}
}

// An instance that restarts during a store outage loads the document from its peers. With
// the pull mechanism off it stays without a document.
func TestRestartedInstanceLoadsDocumentFromPeersWhileStoreIsDown(t *testing.T) {
	for _, p := range withAndWithout(switches.PullDocuments) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			b.platform.SetFaults(platform.Faults{Down: true})
			last := b.instances[2]
			last.signal(t, syscall.SIGKILL)
			<-last.exited
			b.start(last)
			time.Sleep(5 * time.Second)
			require.Equal(t, p.holds, b.revision(last) == 1)
			if p.holds {
				b.requireChat(t, last.caller, "chat", "matcher-a", "from peers", true)
			}
		})
	}
}

// The store commits the write but its reply is lost: the apply must still report success.
func TestApplySucceedsWhenStoreReplyIsLost(t *testing.T) {
	b := newSouthDeployment(t, "")
	b.platform.SetFaults(platform.Faults{LoseReply: 1})
	result, err := b.operatorClient(b.instances[0]).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: documentWithComment("lost")})
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Revision)
	require.Empty(t, result.Behind)
}

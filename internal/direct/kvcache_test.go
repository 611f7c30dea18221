package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// The load of many instances that each send one prompt with a shared first part: to each of them
// it is new, but the endpoint has it. The instance that admits them all schedules only what is read.
func TestPromptsCachedByOthersAreScheduledShorter(t *testing.T) {
	const shared, own = 6000, 3000
	w := &testClock{}
	s := evenState(w)
	s.observeReport("p", roster.Report{Total: 200_000, Taken: w.now()}, "test")
	ask := func(part string) *gossip.AdmitReply {
		a := &balance.Request{Service: "s", Model: "m", PromptTokens: shared + own, Parts: []balance.PromptPart{{ID: "shared", Tokens: shared}, {ID: part, Tokens: own}}}
		a.Uncached = a.PromptTokens
		q := &gossip.Admit{Endpoint: "p", Work: 240 * time.Millisecond, Limit: 500 * time.Millisecond}
		s.addPrompt(q, a)
		w.elapsed += time.Second
		return s.admit(q)
	}
	for i := range minAdmittedPrompts {
		reply := ask(string(rune('a' + i)))
		assert.False(t, reply.Refused)
		if i == 0 {
			assert.Zero(t, reply.Work, "nothing is known yet")
		} else {
			assert.Equal(t, 80*time.Millisecond, reply.Work)
		}
	}
	assert.Equal(t, 80*time.Millisecond, ask("new").Work)
	assert.Equal(t, gossip.BacklogWork{80, 80, 80}, ask("another").Backlog)

	s.roster.Replace(w.now(), []roster.Record{{ID: "p", Revision: 9, Entry: roster.Entry{ID: "p", Born: 5, Service: "s"}}}, 9)
	s.removeOldCaches()
	assert.Empty(t, s.caches, "the endpoint has restarted")
}

// An admission carries the prompt only where backlogs spread the requests.
func TestPromptsAreSentWhereLoadIsSpread(t *testing.T) {
	a := &balance.Request{Service: "s", Model: "m", Parts: []balance.PromptPart{{ID: "x", Tokens: 5}}}
	for _, even := range []int{0, 1} {
		s := evenState(&testClock{})
		s.loadFeatures.settings.Even = even
		s.updateLoadFeatures()
		q := &gossip.Admit{Endpoint: fleet.Endpoint("p")}
		s.addPrompt(q, a)
		assert.Len(t, q.Prompt, even)
	}
}

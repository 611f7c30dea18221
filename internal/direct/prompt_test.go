package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests that share a part of their prompts and nothing else crash endpoints. Some seconds
// after the fifth crash no instance sends one any more, while sound requests with the same first
// part go on.
func TestCrashingPromptPartIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name     string
		window   time.Duration
		settings promptSiteSettings
	}{
		{"9 instances", 4 * time.Second, promptSiteSettings{instances: 9, crashingRate: 2}},
		{"9 instances, many at once", 4 * time.Second, promptSiteSettings{instances: 9, crashingRate: 6}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				c.settings.seed, c.settings.crashingFrom, c.settings.soundRate, c.settings.hot = seed, 5*time.Second, 25, 0.7
				p := newPromptSite(t, c.settings)
				p.run(30 * time.Second)
				require.GreaterOrEqual(t, len(p.crashes), 3, "not found sooner")
				assert.LessOrEqual(t, p.sentAfter(c.window), 3, "sent after the bound, of %d; %d endpoints crashed", len(p.crashingRun), len(p.crashes))
				assert.Empty(t, p.refused, "sound parts")
				before, after := p.share(true, 0, 5*time.Second), p.share(true, 5*time.Second+3*c.window, 30*time.Second)
				assert.Greater(t, after, before/2, "share of the sound requests with the same first part that began")
			})
		}
	}
}

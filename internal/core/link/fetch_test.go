package link_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
)

// A region of 72 instances lacks a change that has to be in force within 4 s. Few of them fetch it over a
// full link, and others do in time if these are lost.
func TestFewOfARegionFetchOverALink(t *testing.T) {
	var region []fleet.Instance
	for i := range 72 {
		region = append(region, fleet.Instance(fmt.Sprintf("front-%03d", i)))
	}
	fetching := func(live []fleet.Instance, missing, allowance time.Duration) (all []fleet.Instance) {
		for _, self := range live {
			peers := slices.DeleteFunc(slices.Clone(live), func(i fleet.Instance) bool { return i == self })
			if link.Fetches(self, peers, missing, allowance) {
				all = append(all, self)
			}
		}
		return all
	}
	first := link.Fetchers(region)
	assert.Len(t, first, 2)
	assert.ElementsMatch(t, first, fetching(region, 0, 0))
	slices.Reverse(region)
	assert.Equal(t, first, link.Fetchers(region), "in any order")
	full := link.Allowance(1700*time.Millisecond, 1700*time.Millisecond)
	assert.Len(t, fetching(region, 3*time.Second, full), 2, "an answer may still be on its way")
	assert.Greater(t, len(fetching(region, 3*time.Second, 0)), 4, "the link is empty, so those were lost")
	left := slices.DeleteFunc(slices.Clone(region), func(i fleet.Instance) bool { return slices.Contains(first, i) })
	assert.Len(t, fetching(left, 0, full), 2, "others take the place of those that are gone")
	assert.Equal(t, region[:1], link.Fetchers(region[:1]))
	assert.Empty(t, link.Fetchers(nil))
}

func TestAllowanceFollowsTheQueues(t *testing.T) {
	for _, tt := range []struct{ there, back, want time.Duration }{
		{0, 0, 0},
		{300 * time.Millisecond, 0, 600 * time.Millisecond},
		{500 * time.Millisecond, 700 * time.Millisecond, 2400 * time.Millisecond},
		{3 * time.Second, 3 * time.Second, link.MaxAllowance},
	} {
		assert.Equal(t, tt.want, link.Allowance(tt.there, tt.back), "%s and %s", tt.there, tt.back)
	}
}

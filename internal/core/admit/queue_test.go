package admit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func item(id int, r fleet.Rank, p fleet.Profile, now time.Time, due time.Duration) Item {
	it := Item{ID: fmt.Sprint(r, "-", id), Rank: r, Profile: p, Arrived: now, PromptTokens: 100, MaxTokens: 64}
	if due > 0 {
		it.Deadline = now.Add(due)
	}
	return it
}

func drain(q *Queue, now time.Time) []Item {
	var out []Item
	for {
		it, ok := q.Next(now)
		if !ok {
			return out
		}
		out = append(out, it)
	}
}

func TestBulkFloodKeepsUrgentFloorFree(t *testing.T) {
	tests := []struct {
		name   string
		floors Shares
		want   State
	}{
		{name: "floors on", floors: DefaultFloors(), want: StateStart},
		{name: "floors off", floors: Shares{}, want: StateQueued},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Slots(8), Floors(tt.floors))
			for i := range 40 {
				q.Offer(start, item(i, fleet.RankBulk, "night", start, 0))
			}
			got := q.Offer(start, item(0, fleet.RankUrgent, "chat", start, time.Hour))
			require.Equal(t, tt.want, got.State)
		})
	}
}

func TestUrgentFloodKeepsOtherFloors(t *testing.T) {
	q := New(Slots(10), Floors(Shares{Urgent: 0.3, Standard: 0.2, Bulk: 0.1}))
	for i := range 100 {
		q.Offer(start, item(i, fleet.RankUrgent, "chat", start, time.Hour))
		q.Offer(start, item(i, fleet.RankStandard, "match", start, time.Hour))
		q.Offer(start, item(i, fleet.RankBulk, "night", start, 0))
	}
	now := start
	counts := map[fleet.Rank]int{}
	for range 50 {
		now = now.Add(time.Second)
		endOldest(q, now)
		for _, it := range drain(q, now) {
			counts[it.Rank]++
		}
	}
	require.GreaterOrEqual(t, q.running[1], 2)
	require.GreaterOrEqual(t, q.running[2], 1)
	require.Greater(t, counts[fleet.RankUrgent], counts[fleet.RankStandard])
}

// endOldest ends the request that has run longest.
func endOldest(q *Queue, now time.Time) {
	var oldest *entry
	for _, e := range q.entries {
		if e.running && (oldest == nil || e.startedAt.Before(oldest.startedAt) ||
			e.startedAt.Equal(oldest.startedAt) && e.item.ID < oldest.item.ID) {
			oldest = e
		}
	}
	q.Done(now, oldest.item.ID, End{State: EndComplete})
}

func TestEarliestDeadlineFirstInsideRank(t *testing.T) {
	q := New(Slots(1), Floors(Shares{}))
	q.Offer(start, item(0, fleet.RankUrgent, "a", start, time.Hour))
	q.Offer(start, item(1, fleet.RankUrgent, "a", start, 3*time.Hour))
	q.Offer(start, item(2, fleet.RankUrgent, "a", start, 2*time.Hour))
	q.Done(start, "urgent-0", End{State: EndComplete})
	it, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "urgent-2", it.ID)
}

func TestProfileOverCapRunsAfterOthers(t *testing.T) {
	tests := []struct {
		name string
		cap  float64
		want string
	}{
		{name: "cap on", cap: 0.5, want: "urgent-100"},
		{name: "cap off", cap: 1, want: "urgent-4"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Slots(4), Floors(Shares{}), ProfileCap(tt.cap))
			for i := range 20 {
				q.Offer(start, item(i, fleet.RankUrgent, "loud", start, time.Hour))
			}
			later := start.Add(time.Second)
			q.Offer(later, item(100, fleet.RankUrgent, "quiet", later, time.Hour))
			q.Done(later, "urgent-0", End{State: EndComplete})
			it, ok := q.Next(later)
			require.True(t, ok)
			require.Equal(t, tt.want, it.ID)
		})
	}
}

func TestOfferRefusesRequestThatWouldMissDeadline(t *testing.T) {
	q := New(Slots(1), Floors(Shares{}), WithSpeed(Speed{PrefillRate: 1000, BaseStep: 20 * time.Millisecond}))
	require.Equal(t, StateStart, q.Offer(start, item(0, fleet.RankUrgent, "a", start, time.Second)).State)
	got := q.Offer(start, item(1, fleet.RankUrgent, "a", start, time.Second))
	require.Equal(t, StateRefused, got.State)
	require.Equal(t, CodeLate, got.Code)
	require.Positive(t, got.RetryAfter)
}

func TestExpireDropsRequestsPastLatestStart(t *testing.T) {
	q := New(Slots(1), Floors(Shares{}))
	q.Offer(start, item(0, fleet.RankUrgent, "a", start, time.Hour))
	q.Offer(start, item(1, fleet.RankUrgent, "a", start, time.Minute))
	q.Offer(start, item(2, fleet.RankBulk, "b", start, 0))
	due, ok := q.Due(start)
	require.True(t, ok)
	require.Equal(t, start.Add(time.Minute), due)
	require.Empty(t, q.Expire(due))
	got := q.Expire(due.Add(time.Nanosecond))
	require.Len(t, got, 1)
	require.Equal(t, "urgent-1", got[0].Item.ID)
	require.Equal(t, 1, q.Queued())
}

func TestBreakerIsSharedByProfilesAndProbesOnce(t *testing.T) {
	q := New(Slots(4), Floors(Shares{}), WithBreaker(1, 30*time.Second), Jitter(0))
	q.Offer(start, item(0, fleet.RankUrgent, "a", start, time.Second))
	q.Done(start, "urgent-0", End{State: EndThrottled, RetryAfter: 10 * time.Second})
	got := q.Offer(start, item(1, fleet.RankUrgent, "b", start, time.Second))
	require.Equal(t, Decision{State: StateRefused, Code: CodeBreaker, RetryAfter: 30 * time.Second}, got)
	later := start.Add(30 * time.Second)
	require.Equal(t, StateStart, q.Offer(later, item(2, fleet.RankUrgent, "b", later, time.Second)).State)
	require.Equal(t, StateQueued, q.Offer(later, item(3, fleet.RankUrgent, "b", later, time.Second)).State)
	q.Done(later, "urgent-2", End{State: EndComplete})
	require.Len(t, drain(q, later), 1)
}

func TestRetryAfterIsLargestWait(t *testing.T) {
	tests := []struct {
		rule WaitRule
		want time.Duration
	}{
		{rule: WaitLargest, want: 30 * time.Second},
		{rule: WaitSmallest, want: 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(string(tt.rule), func(t *testing.T) {
			require.Equal(t, tt.want, tt.rule.choose(30*time.Second, 0, 2*time.Second))
		})
	}
	require.Equal(t, WaitLargest, New().retryAfterRule)
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	q := New(Slots(4), Floors(Shares{}))
	for i := range 3 {
		it := item(i, fleet.RankUrgent, "a", start, time.Hour)
		it.Suspect = true
		q.Offer(start, it)
	}
	q.Offer(start, item(3, fleet.RankUrgent, "a", start, 2*time.Hour))
	require.Equal(t, 2, q.Running())
	q.Done(start, "urgent-0", End{State: EndComplete})
	require.Len(t, drain(q, start), 1)
}

func TestCancel(t *testing.T) {
	q := New(Slots(1), Floors(Shares{}))
	q.Offer(start, item(0, fleet.RankUrgent, "a", start, time.Hour))
	q.Offer(start, item(1, fleet.RankUrgent, "a", start, time.Hour))
	require.False(t, q.Cancel(start, "urgent-1"))
	require.True(t, q.Cancel(start, "urgent-0"))
	require.False(t, q.Cancel(start, "urgent-0"))
	require.Zero(t, q.Running()+q.Queued())
}

func TestQueueCountsMatchEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(Slots(rapid.IntRange(1, 6).Draw(rt, "slots")))
		now := start
		active := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap")) * time.Millisecond)
			randomStep(rt, q, now, i, active)
			require.LessOrEqual(rt, q.Running(), q.slots)
			require.Equal(rt, len(q.entries), q.Running()+q.Queued())
			require.Len(rt, q.entries, len(active))
		}
	})
}

func randomStep(rt *rapid.T, q *Queue, now time.Time, i int, active map[string]bool) {
	switch rapid.IntRange(0, 3).Draw(rt, "what") {
	case 0, 1:
		r := rapid.SampledFrom(fleet.Ranks()).Draw(rt, "rank")
		p := rapid.SampledFrom([]fleet.Profile{"a", "b"}).Draw(rt, "profile")
		due := time.Duration(rapid.IntRange(0, 3).Draw(rt, "due")) * time.Second
		it := item(i, r, p, now, due)
		if q.Offer(now, it).State != StateRefused {
			active[it.ID] = true
		}
	case 2:
		for _, id := range slices.Sorted(maps.Keys(active))[:min(1, len(active))] {
			q.Cancel(now, id)
			delete(active, id)
		}
	default:
		for _, refusal := range q.Expire(now) {
			delete(active, refusal.Item.ID)
		}
	}
	drain(q, now)
}

func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := New(Slots(n))
			for i := range n {
				q.Offer(start, item(i, fleet.RankStandard, "a", start, time.Hour))
			}
			it := item(-1, fleet.RankUrgent, "a", start, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				q.Offer(start, it)
				q.Cancel(start, it.ID)
			}
		})
	}
}

func TestProfileStaysWithinMaxShare(t *testing.T) {
	tests := []struct {
		name string
		cap  float64
		want int
	}{
		{name: "half", cap: 0.5, want: 2},
		{name: "small share rounds up to one slot", cap: 0.01, want: 1},
		{name: "no bound", cap: 0, want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Slots(4), Floors(Shares{}))
			for i := range 20 {
				it := item(i, fleet.RankStandard, "loud", start, time.Hour)
				it.MaxShare = tt.cap
				q.Offer(start, it)
			}
			drain(q, start)
			require.Equal(t, tt.want, q.Running())
			q.Offer(start, item(100, fleet.RankStandard, "quiet", start, time.Hour))
			drain(q, start)
			require.Equal(t, min(tt.want+1, 4), q.Running(), "other profiles use the remaining slots")
		})
	}
}

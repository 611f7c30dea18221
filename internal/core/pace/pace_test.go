package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

var start = time.Unix(1_000_000, 0)

func TestReserve(t *testing.T) {
	const ms = time.Millisecond
	type prompt struct {
		at, work, limit time.Duration
		level           int
		wait            time.Duration
		ok              bool
	}
	tests := []struct {
		name    string
		prompts []prompt
	}{
		{name: "one after the other", prompts: []prompt{
			{work: 40 * ms, limit: 100 * ms, ok: true},
			{work: 40 * ms, limit: 100 * ms, wait: 40 * ms, ok: true},
			{at: 60 * ms, work: 40 * ms, limit: 100 * ms, wait: 20 * ms, ok: true},
		}},
		{name: "idle time isn't saved up", prompts: []prompt{
			{work: 40 * ms, limit: 100 * ms, ok: true},
			{at: 500 * ms, work: 40 * ms, limit: 100 * ms, ok: true},
			{at: 500 * ms, work: 40 * ms, limit: 100 * ms, wait: 40 * ms, ok: true},
		}},
		{name: "too long a wait takes no place", prompts: []prompt{
			{work: 90 * ms, limit: 50 * ms, ok: true},
			{work: 90 * ms, limit: 50 * ms, wait: 90 * ms},
			{work: 10 * ms, limit: 90 * ms, wait: 90 * ms, ok: true},
		}},
		{name: "urgent work doesn't wait for less urgent work", prompts: []prompt{
			{level: 2, work: 200 * ms, limit: 100 * ms, ok: true},
			{level: 0, work: 40 * ms, limit: 100 * ms, ok: true},
			{level: 1, work: 40 * ms, limit: 100 * ms, wait: 40 * ms, ok: true},
			{level: 7, work: 40 * ms, limit: 400 * ms, wait: 280 * ms, ok: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s pace.Schedule
			for i, p := range tt.prompts {
				wait, ok := s.Reserve(start.Add(p.at), p.level, p.work, p.limit)
				assert.Equal(t, p.wait, wait, "prompt %d", i)
				assert.Equal(t, p.ok, ok, "prompt %d", i)
			}
			assert.False(t, s.Idle(start))
			assert.True(t, s.Idle(start.Add(time.Minute)))
		})
	}
}

// The load of more requests than an endpoint has slots: reports show them late.
func TestSlotWait(t *testing.T) {
	const run = 2400 * time.Millisecond
	var s pace.Schedule
	report := func(requests, ms int) pace.Occupancy {
		return pace.Occupancy{Slots: 24, Requests: requests, ReportedAt: start.Add(time.Duration(ms) * time.Millisecond)}
	}
	assert.Zero(t, s.SlotWait(pace.Occupancy{}, run), "nothing is known")
	assert.Zero(t, s.SlotWait(report(20, 0), run))
	assert.True(t, s.Idle(start))
	for i := range 3 {
		_, ok := s.Reserve(start.Add(time.Duration(i)*time.Millisecond), 0, 0, 0)
		assert.True(t, ok)
	}
	assert.False(t, s.Idle(start.Add(900*time.Millisecond)), "the reports may not show them yet")
	assert.True(t, s.Idle(start.Add(1100*time.Millisecond)))
	assert.Zero(t, s.SlotWait(report(20, 0), run))
	assert.Equal(t, 100*time.Millisecond, s.SlotWait(report(21, 0), run), "21 reported and 3 sent since")
	assert.Equal(t, 300*time.Millisecond, s.SlotWait(report(23, 100), run), "the report may not show those sent yet")
	assert.Zero(t, s.SlotWait(report(23, 300), run), "the report shows them")
	assert.Equal(t, 400*time.Millisecond, s.SlotWait(report(27, 300), run), "more wait there already")
}

func TestAppliesToShortGapsOnly(t *testing.T) {
	for gap, want := range map[time.Duration]bool{0: false, 50 * time.Millisecond: false, 150 * time.Millisecond: true, 200 * time.Millisecond: true, 300 * time.Millisecond: false, 500 * time.Millisecond: false} {
		assert.Equal(t, want, pace.Applies(gap), gap)
	}
}

// The load of two models in demand before few copies: bursts of prompts reach an endpoint
// that generates streams. The engine prefills up to a chunk in each step.
func TestBurstsOfPromptsDontPauseStreams(t *testing.T) {
	const (
		gap, target    = 150 * time.Millisecond, 250 * time.Millisecond
		margin         = 60 * time.Millisecond // of a first event, beside wait and prefill
		maxLateStreams = 0.05
	)
	paced, unpaced := 0.0, 0.0
	for seed := range uint64(5) {
		arrivals := promptArrivals(seed)
		scheduled := arrivals[:0:0]
		refused := 0
		var s pace.Schedule
		for _, p := range arrivals {
			limit := target - prefillTime(p.tokens) - margin
			wait, ok := s.Reserve(start.Add(p.at), 0, pace.Work(prefillTime(p.tokens), gap), limit)
			if !ok {
				refused++
				continue
			}
			assert.LessOrEqual(t, wait, limit)
			scheduled = append(scheduled, prompt{at: p.at + wait, tokens: p.tokens})
		}
		assert.Less(t, refused, len(arrivals)/5, "there is room for most of them")
		paced += lateStreams(scheduled, gap) / 5
		unpaced += lateStreams(arrivals, gap) / 5
	}
	assert.Less(t, paced, maxLateStreams, "share of streams with a longer pause")
	assert.Greater(t, unpaced, 2*maxLateStreams, "without pacing the load pauses streams")
}

type prompt struct {
	at     time.Duration
	tokens int
}

const (
	chunkTokens     = 1024
	tokensPerMS     = 38.7
	stepTime        = 5470 * time.Microsecond
	stepsPerEvent   = 5
	eventsPerStream = 56
	promptsPerBurst = 8
)

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMS * float64(time.Millisecond))
}

// promptArrivals is half a minute of prompts of 600 tokens in the mean, in bursts.
func promptArrivals(seed uint64) []prompt {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []prompt
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(random.ExpFloat64() * 0.4 * float64(time.Second)) {
		for range 1 + random.IntN(promptsPerBurst) {
			tokens := int(min(2500, 450*math.Exp(0.8*random.NormFloat64())))
			all = append(all, prompt{at: at, tokens: tokens})
		}
	}
	return all
}

// lateStreams returns the share of streams with a pause longer than gap, if one begins with
// each event of the engine.
func lateStreams(prompts []prompt, gap time.Duration) float64 {
	now, pending, late := time.Duration(0), 0, 0
	lastLate, events := -eventsPerStream, 0
	for len(prompts) > 0 || pending > 0 {
		began := now
		for range stepsPerEvent {
			for len(prompts) > 0 && prompts[0].at <= now {
				pending += prompts[0].tokens
				prompts = prompts[1:]
			}
			chunk := min(pending, chunkTokens)
			pending -= chunk
			now += stepTime + prefillTime(chunk)
		}
		if now-began > gap {
			late += min(eventsPerStream, events-lastLate)
			lastLate = events
		}
		events++
	}
	return float64(late) / float64(events)
}

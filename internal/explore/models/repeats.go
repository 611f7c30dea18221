package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// Mechanisms of the repeats model, in which a repeat is a retried request.
const (
	mechanismShare = "share"
	mechanismStart = "start"
)

const (
	repeatsWindow         = 10 * time.Second
	repeatsTick           = 5 * time.Second
	maxRepeatsTicks       = 5
	repeatsRatio          = 0.5
	repeatsFixedAllowance = 10.0
	repeatsMembers        = 2
	maxRepeatsBatches     = 2 // batches of requests in total
	repeatsBatchSize      = 4
	maxRepeatsRestarts    = 2
	repeatsService        = catalog.Service("s")
)

var errTooManyRetries = errors.New("the instances together made more retries than the budget allows")

func repeatsModel() Model {
	return Model{
		Name:          "repeats",
		Promise:       "in any window all instances together make no more retries than the budget allows",
		CodeUnderTest: "internal/core/balance, Budget",
		Mechanisms: []Mechanism{
			{mechanismShare, "each instance uses only its share of the fixed allowance"},
			{mechanismStart, "a newly started instance doesn't use the fixed allowance for one window"},
		},
		Start: func(disabled string) explore.State { return newRepeats(disabled) },
	}
}

// repeatsState is instances that share one retry budget without coordination.
type repeatsState struct {
	disabled string
	budgets  [repeatsMembers]*balance.Budget
	// knowsMembers marks the instances that know how many share the budget. Each knows it
	// within a window of its start, since it isn't ready before it has read the platform's
	// list or received a peer's heartbeat.
	knowsMembers [repeatsMembers]bool
	startedAt    [repeatsMembers]int
	ticks        int
	restarts     int
	batches      int
	// requests and retries are counted per tick.
	requests [maxRepeatsTicks + 1]int
	retries  [maxRepeatsTicks + 1]int
}

func newRepeats(disabled string) *repeatsState {
	s := &repeatsState{disabled: disabled}
	for i := range s.budgets {
		s.budgets[i] = s.budget()
	}
	return s
}

func (s *repeatsState) now() time.Time { return modelTime.Add(time.Duration(s.ticks) * repeatsTick) }

func (s *repeatsState) budget() *balance.Budget {
	if s.disabled == mechanismStart {
		return balance.NewBudget(repeatsRatio, repeatsFixedAllowance, repeatsWindow)
	}
	return balance.NewBudget(repeatsRatio, repeatsFixedAllowance, repeatsWindow, balance.WithStart(s.now()))
}

// Key implements explore.State.
func (s *repeatsState) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.knowsMembers, s.startedAt, s.ticks, s.restarts, s.batches, s.requests, s.retries)
	for _, one := range s.budgets {
		b.WriteString("|" + one.Fingerprint())
	}
	return b.String()
}

// Check implements explore.State. The window ends now and spans two ticks. The allowance is
// computed from the requests of this window, the previous one or one in between, whichever
// has most.
func (s *repeatsState) Check() error {
	sum := func(counts []int, from, to int) int {
		n := 0
		for _, c := range counts[max(0, from):max(0, to)] {
			n += c
		}
		return n
	}
	windowTicks := int(repeatsWindow / repeatsTick)
	end := s.ticks + 1
	retried := sum(s.retries[:], end-windowTicks, end)
	requested := max(sum(s.requests[:], end-windowTicks, end), sum(s.requests[:], end-2*windowTicks, end-windowTicks), sum(s.requests[:], end-windowTicks-windowTicks/2, end-windowTicks/2))
	if allowed := repeatsRatio*float64(requested) + repeatsFixedAllowance; float64(retried) > allowed {
		return fmt.Errorf("%w: %d, allowed %g", errTooManyRetries, retried, allowed)
	}
	return nil
}

// Steps implements explore.State.
func (s *repeatsState) Steps() []explore.Step {
	var steps []explore.Step
	add := func(name string, do func(s *repeatsState)) {
		steps = append(steps, explore.Step{Name: name, Take: func() explore.State {
			next := *s
			for i, b := range s.budgets {
				next.budgets[i] = b.Clone()
			}
			do(&next)
			return &next
		}})
	}
	for i := range s.budgets {
		s.instanceSteps(i, add)
	}
	overdue := func(i int) bool {
		return !s.knowsMembers[i] && s.ticks-s.startedAt[i] >= int(repeatsWindow/repeatsTick)-1
	}
	if s.ticks < maxRepeatsTicks && !slices.ContainsFunc([]int{0, 1}, overdue) {
		add(fmt.Sprintf("%s pass", repeatsTick), func(s *repeatsState) { s.ticks++ })
	}
	return steps
}

func (s *repeatsState) instanceSteps(i int, add func(string, func(*repeatsState))) {
	name := fmt.Sprintf("instance %d ", i+1)
	if s.batches < maxRepeatsBatches {
		add(fmt.Sprintf("%sgets %d requests", name, repeatsBatchSize), func(s *repeatsState) {
			s.batches++
			for range repeatsBatchSize {
				s.budgets[i].RecordRequest(s.now(), repeatsService)
			}
			s.requests[s.ticks] += repeatsBatchSize
		})
	}
	add(name+"repeats all that it may", func(s *repeatsState) {
		for s.budgets[i].TakeRetry(s.now(), repeatsService) {
			s.retries[s.ticks]++
		}
	})
	if !s.knowsMembers[i] {
		add(name+"hears of the other", func(s *repeatsState) {
			s.knowsMembers[i] = true
			if s.disabled != mechanismShare {
				s.budgets[i].SetMembers(repeatsMembers)
			}
		})
	}
	if s.restarts < maxRepeatsRestarts {
		add(name+"starts again", func(s *repeatsState) {
			s.restarts++
			s.budgets[i], s.knowsMembers[i], s.startedAt[i] = s.budget(), false, s.ticks
		})
	}
}

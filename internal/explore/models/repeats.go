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

// The mechanisms of repeats.
const (
	offShare = "share"
	offStart = "start"
)

const (
	repeatsWindow  = 10 * time.Second
	repeatsTick    = 5 * time.Second
	repeatsTicks   = 5
	repeatsRatio   = 0.5
	repeatsExtra   = 10.0
	repeatsMembers = 2
	repeatsAsked   = 2 // batches of requests in all
	repeatsBatch   = 4
	repeatsStarts  = 2
	repeated       = catalog.Service("s")
)

var errRepeats = errors.New("more requests were repeated than all instances together may")

func repeats() Model {
	return Model{
		Name:    "repeats",
		Promise: "all instances together repeat no more than the budget allows in any window",
		Drives:  "internal/core/balance, Budget",
		Mechanisms: []Mechanism{
			{offShare, "each instance uses its share of the fixed allowance"},
			{offStart, "an instance that was just started leaves the fixed allowance alone for a window"},
		},
		Start: func(off string) explore.State { return newRepeats(off) },
	}
}

// repeatsState is instances that share one budget without a word between them.
type repeatsState struct {
	off     string
	budgets [repeatsMembers]*balance.Budget
	// aware instances know how many share the budget. Each does within a window of its
	// start: it isn't ready before it has read the platform's list or heard a peer.
	aware  [repeatsMembers]bool
	since  [repeatsMembers]int
	ticks  int
	starts int
	asked  int
	// requests and repeats are counted by tick.
	requests [repeatsTicks + 1]int
	repeats  [repeatsTicks + 1]int
}

func newRepeats(off string) *repeatsState {
	s := &repeatsState{off: off}
	for i := range s.budgets {
		s.budgets[i] = s.budget()
	}
	return s
}

func (s *repeatsState) now() time.Time { return modelTime.Add(time.Duration(s.ticks) * repeatsTick) }

func (s *repeatsState) budget() *balance.Budget {
	if s.off == offStart {
		return balance.NewBudget(repeatsRatio, repeatsExtra, repeatsWindow)
	}
	return balance.NewBudget(repeatsRatio, repeatsExtra, repeatsWindow, balance.WithStart(s.now()))
}

// Key implements explore.State.
func (s *repeatsState) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.aware, s.since, s.ticks, s.starts, s.asked, s.requests, s.repeats)
	for _, one := range s.budgets {
		b.WriteString("|" + one.Fingerprint())
	}
	return b.String()
}

// Check implements explore.State. The window ends now and holds two ticks; requests of
// the window before it may be counted instead.
func (s *repeatsState) Check() error {
	sum := func(counts []int, from, to int) int {
		n := 0
		for _, c := range counts[max(0, from):max(0, to)] {
			n += c
		}
		return n
	}
	width := int(repeatsWindow / repeatsTick)
	end := s.ticks + 1
	done := sum(s.repeats[:], end-width, end)
	asked := max(sum(s.requests[:], end-width, end), sum(s.requests[:], end-2*width, end-width), sum(s.requests[:], end-width-width/2, end-width/2))
	if allowed := repeatsRatio*float64(asked) + repeatsExtra; float64(done) > allowed {
		return fmt.Errorf("%w: %d, allowed %g", errRepeats, done, allowed)
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
		s.instance(i, add)
	}
	late := func(i int) bool { return !s.aware[i] && s.ticks-s.since[i] >= int(repeatsWindow/repeatsTick)-1 }
	if s.ticks < repeatsTicks && !slices.ContainsFunc([]int{0, 1}, late) {
		add(fmt.Sprintf("%s pass", repeatsTick), func(s *repeatsState) { s.ticks++ })
	}
	return steps
}

func (s *repeatsState) instance(i int, add func(string, func(*repeatsState))) {
	name := fmt.Sprintf("instance %d ", i+1)
	if s.asked < repeatsAsked {
		add(fmt.Sprintf("%sgets %d requests", name, repeatsBatch), func(s *repeatsState) {
			s.asked++
			for range repeatsBatch {
				s.budgets[i].RecordRequest(s.now(), repeated)
			}
			s.requests[s.ticks] += repeatsBatch
		})
	}
	add(name+"repeats all that it may", func(s *repeatsState) {
		for s.budgets[i].TakeRetry(s.now(), repeated) {
			s.repeats[s.ticks]++
		}
	})
	if !s.aware[i] {
		add(name+"hears of the other", func(s *repeatsState) {
			s.aware[i] = true
			if s.off != offShare {
				s.budgets[i].SetMembers(repeatsMembers)
			}
		})
	}
	if s.starts < repeatsStarts {
		add(name+"starts again", func(s *repeatsState) {
			s.starts++
			s.budgets[i], s.aware[i], s.since[i] = s.budget(), false, s.ticks
		})
	}
}

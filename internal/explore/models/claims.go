package models

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/claim"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/explore"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// The mechanisms of claims.
const (
	offReadBack = "read-back"
	offUnique   = "unique-id"
	offCompare  = "compare"
	offUnsent   = "release-unsent"
	offBoth     = "both-parts"
	offLayout   = "layout-check"
)

const (
	dispatchers   = 3
	claimSends    = 2
	claimFaults   = 2
	claimDeadline = time.Minute
	// periodShards is the number of shards of the period that begins meanwhile.
	periodShards = 2 * once.MinShards
)

var (
	// errNoRoute: the endpoint was not reached, nothing was sent.
	errNoRoute = errors.New("endpoint not reached")
	// errNoAnswer: the request was sent and no answer came.
	errNoAnswer = errors.New("no answer")

	errRanTwice = errors.New("a request that may run once ran twice")
	errForeign  = errors.New("a recorded answer is not that of the only run")

	modelTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	claimKey  = once.Key{Profile: "counter", Text: "order-1"}
)

func claims() Model {
	return Model{
		Name:    "claims",
		Promise: "a request that may run once runs at most once",
		Drives:  "internal/claim and internal/core/once",
		Mechanisms: []Mechanism{
			{offReadBack, "a claim whose reply was lost is read back"},
			{offUnique, "each try to claim carries an id of its own"},
			{offCompare, "the store writes a claim only over the version that was expected"},
			{offUnsent, "a claim is given back only when nothing was sent"},
			{offBoth, "a key is looked for in the part of the period before, too"},
			{offLayout, "the store takes a claim only while its layout is the present one"},
		},
		Start: func(off string) explore.State {
			s := &claimState{off: off, faults: claimFaults, periods: 1, actors: make([]dispatcher, dispatchers)}
			for i := range s.actors {
				s.advance(i)
			}
			return *s
		},
	}
}

// dispatcher is one instance that the same request is sent to, again and again.
type dispatcher struct {
	replies []reply
	// past stands for the replies in a key; next is the call without a reply.
	past [sha256.Size]byte
	next *call
	// lives counts the starts of the process, sent the requests of former lives.
	lives int
	sent  int
}

// cell is one key of the store.
type cell struct {
	key     string
	version uint64
	value   []byte
}

// claimState is the store, the endpoint and all dispatchers.
type claimState struct {
	off    string
	actors []dispatcher
	// index counts the store's commits; cells are its keys in order.
	index   uint64
	cells   []cell
	periods int // that may still begin
	late    []call
	runs    []string // attempts that ran
	told    []string // attempts whose answers were told
	faults  int
}

// Key implements explore.State.
func (s claimState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %v %d %v %v %d %v", s.index, s.cells, s.periods, s.runs, s.told, s.faults, s.late)
	for _, a := range s.actors {
		fmt.Fprintf(&b, "|%d %d %x", a.lives, a.sent, a.past)
	}
	return b.String()
}

// Check implements explore.State.
func (s claimState) Check() error {
	if len(s.runs) > 1 {
		return fmt.Errorf("%w: attempts %s", errRanTwice, strings.Join(s.runs, ", "))
	}
	for _, told := range s.told {
		if !slices.Contains(s.runs, told) {
			return fmt.Errorf("%w: attempt %s", errForeign, told)
		}
	}
	return nil
}

// Steps implements explore.State.
func (s claimState) Steps() []explore.Step {
	var steps []explore.Step
	for i := range s.actors {
		if i > 0 && s.untouched() {
			break // the same as at the first
		}
		if c := s.actors[i].next; c != nil {
			steps = append(steps, s.answers(i, *c)...)
		}
	}
	if len(s.late) > 0 {
		steps = append(steps, explore.Step{Name: "the delayed write arrives", Take: func() explore.State {
			next := s.clone()
			_ = next.commit(s.late[0].writes)
			next.late = slices.Clone(s.late[1:])
			return next
		}})
	}
	if s.periods > 0 {
		steps = append(steps, explore.Step{Name: "the next period begins", Take: s.nextPeriod})
	}
	return steps
}

// nextPeriod changes the layout, as a sweep does.
func (s claimState) nextPeriod() explore.State {
	next := s.clone()
	next.periods--
	layout, err := once.InitialLayout().Next(modelTime, periodShards).Encode()
	if err != nil {
		panic(err)
	}
	next.apply(platform.Write{Key: once.LayoutKey, Value: layout})
	return *next
}

// untouched reports whether nothing has happened yet, so that dispatchers are alike.
func (s claimState) untouched() bool {
	first := s.actors[0]
	return s.index == 0 && s.faults == claimFaults && len(first.replies) == 0
}

func (s claimState) clone() *claimState {
	s.actors = slices.Clone(s.actors)
	return &s
}

// advance runs a dispatcher to its next call and notes what its caller was told.
func (s *claimState) advance(i int) {
	s.told = nil
	s.actors[i].next = pending(s.actors[i].replies, func(t *tape) {
		s.dispatch(i, t, func(attempt string) { s.told = append(s.told, attempt) })
	})
}

// dispatch is the program of one dispatcher: it claims, runs, and records the end.
func (s claimState) dispatch(i int, t *tape, told func(string)) {
	a := s.actors[i]
	serial := 0
	claims := claim.New(&taped{t}, s.options(func() string {
		serial++
		return fmt.Sprintf("%d.%d.%d", i, a.lives, serial)
	})...)
	for n := a.sent; n < claimSends; n++ {
		attempt := fmt.Sprintf("%d.%d", i+1, n+1)
		if s.submit(t, claims, attempt, told) {
			_, _ = claims.Settle(context.Background())
		}
	}
}

func (s claimState) options(id func() string) []claim.Option {
	opts := []claim.Option{claim.WithClock(func() time.Time { return modelTime }), claim.WithIDs(id)}
	switch s.off {
	case offReadBack:
		opts = append(opts, claim.WithoutReadBack())
	case offBoth:
		opts = append(opts, claim.WithoutPreviousPartition())
	case offLayout:
		opts = append(opts, claim.WithoutLayoutCheck())
	case offUnique:
		opts = append(opts, claim.WithIDs(func() string { return "claim" }))
	}
	return opts
}

// submit sends one request, true when an end may wait for the store.
func (s claimState) submit(t *tape, claims *claim.Claims, attempt string, told func(string)) bool {
	ctx := context.Background()
	verdict, err := claims.Claim(ctx, claimKey, once.Request{
		ID: attempt, Attempt: attempt, Fingerprint: 1, Deadline: modelTime.Add(claimDeadline),
	})
	if err != nil {
		return false
	}
	if verdict.Kind == once.KindRecorded {
		told(string(verdict.Answer.Body))
	}
	if verdict.Kind != once.KindGranted {
		return true
	}
	err = t.ask(call{kind: callRun, key: attempt}).err
	switch {
	case err == nil:
		_ = claims.Finish(ctx, claimKey, verdict.Claim, once.Answer{Status: 200, Body: []byte(attempt)})
	case errors.Is(err, errNoRoute), s.off == offUnsent:
		_ = claims.Release(ctx, claimKey, verdict.Claim)
	}
	return true
}

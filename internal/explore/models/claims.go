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

// Mechanisms of the claims model.
const (
	mechanismReadBack      = "read-back"
	mechanismUniqueID      = "unique-id"
	mechanismCompare       = "compare"
	mechanismReleaseUnsent = "release-unsent"
	mechanismBothParts     = "both-parts"
	mechanismLayoutCheck   = "layout-check"
)

const (
	dispatcherCount = 3
	maxClaimSends   = 2
	maxClaimFaults  = 2
	claimDeadline   = time.Minute
	// nextPeriodShards is the number of shards in the layout of the next period.
	nextPeriodShards = 2 * once.MinShards
)

var (
	// errNoRoute: the endpoint was not reached and nothing was sent.
	errNoRoute = errors.New("endpoint not reached")
	// errNoAnswer: the request was sent and no answer was received.
	errNoAnswer = errors.New("no answer")

	errRanTwice       = errors.New("a request that may run only once ran twice")
	errUnknownAttempt = errors.New("a recorded answer belongs to an attempt that did not run")

	modelTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	claimKey  = once.Key{Profile: "counter", Text: "order-1"}
)

func claimsModel() Model {
	return Model{
		Name:          "claims",
		Promise:       "a request that may run only once runs at most once",
		CodeUnderTest: "internal/claim and internal/core/once",
		Mechanisms: []Mechanism{
			{mechanismReadBack, "a claim whose write got no reply is read back"},
			{mechanismUniqueID, "each try to claim has a unique id"},
			{mechanismCompare, "the store writes a claim only over the version that was expected"},
			{mechanismReleaseUnsent, "a claim is released only if nothing was sent"},
			{mechanismBothParts, "a key is also looked up in the partition of the previous period"},
			{mechanismLayoutCheck, "the store accepts a claim only if its layout is the current one"},
		},
		Start: func(disabled string) explore.State {
			s := &claimState{disabled: disabled, faultsLeft: maxClaimFaults, periodsLeft: 1, dispatchers: make([]dispatcher, dispatcherCount)}
			for i := range s.dispatchers {
				s.advance(i)
			}
			return *s
		},
	}
}

// dispatcher is one instance to which the same request is sent repeatedly.
type dispatcher struct {
	replies []reply
	// replyHash represents the replies in a state key; nextCall is the call without a reply.
	replyHash [sha256.Size]byte
	nextCall  *call
	// restarts counts the restarts of the process; sentBefore counts the requests that are
	// charged to earlier processes, one for each.
	restarts   int
	sentBefore int
}

// storeEntry is one entry of the store.
type storeEntry struct {
	key     string
	version uint64
	value   []byte
}

// claimState is the state of the store, the endpoint and all dispatchers.
type claimState struct {
	disabled    string
	dispatchers []dispatcher
	// commitIndex counts the writes to the store; entries are sorted by key.
	commitIndex   uint64
	entries       []storeEntry
	periodsLeft   int // periods that may still begin
	delayedWrites []call
	runs          []string // attempts that ran
	reported      []string // attempts whose recorded answers were returned by the dispatcher that ran last
	faultsLeft    int
}

// Key implements explore.State.
func (s claimState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %v %d %v %v %d %v", s.commitIndex, s.entries, s.periodsLeft, s.runs, s.reported, s.faultsLeft, s.delayedWrites)
	for _, a := range s.dispatchers {
		fmt.Fprintf(&b, "|%d %d %x", a.restarts, a.sentBefore, a.replyHash)
	}
	return b.String()
}

// Check implements explore.State.
func (s claimState) Check() error {
	if len(s.runs) > 1 {
		return fmt.Errorf("%w: attempts %s", errRanTwice, strings.Join(s.runs, ", "))
	}
	for _, attempt := range s.reported {
		if !slices.Contains(s.runs, attempt) {
			return fmt.Errorf("%w: attempt %s", errUnknownAttempt, attempt)
		}
	}
	return nil
}

// Steps implements explore.State.
func (s claimState) Steps() []explore.Step {
	var steps []explore.Step
	for i := range s.dispatchers {
		if i > 0 && s.isInitial() {
			break // equivalent to the first dispatcher
		}
		if c := s.dispatchers[i].nextCall; c != nil {
			steps = append(steps, s.callSteps(i, *c)...)
		}
	}
	if len(s.delayedWrites) > 0 {
		steps = append(steps, explore.Step{Name: "the delayed write arrives", Take: func() explore.State {
			next := s.clone()
			_ = next.commit(s.delayedWrites[0].writes)
			next.delayedWrites = slices.Clone(s.delayedWrites[1:])
			return next
		}})
	}
	if s.periodsLeft > 0 {
		steps = append(steps, explore.Step{Name: "the next period begins", Take: s.nextPeriod})
	}
	return steps
}

// nextPeriod writes the layout of the next period, as a sweep does.
func (s claimState) nextPeriod() explore.State {
	next := s.clone()
	next.periodsLeft--
	layout, err := once.InitialLayout().Next(modelTime, nextPeriodShards).Encode()
	if err != nil {
		panic(err)
	}
	next.apply(platform.Write{Key: once.LayoutKey, Value: layout})
	return *next
}

// isInitial reports whether nothing has happened yet, so that dispatchers are
// interchangeable.
func (s claimState) isInitial() bool {
	first := s.dispatchers[0]
	return s.commitIndex == 0 && s.faultsLeft == maxClaimFaults && len(first.replies) == 0
}

func (s claimState) clone() *claimState {
	s.dispatchers = slices.Clone(s.dispatchers)
	return &s
}

// advance runs a dispatcher to its next call and records the answers it returned.
func (s *claimState) advance(i int) {
	s.reported = nil
	s.dispatchers[i].nextCall = nextCall(s.dispatchers[i].replies, func(t *replayer) {
		s.dispatch(i, t, func(attempt string) { s.reported = append(s.reported, attempt) })
	})
}

// dispatch is the program of one dispatcher: for each request it claims, runs and records
// the answer.
func (s claimState) dispatch(i int, t *replayer, report func(string)) {
	a := s.dispatchers[i]
	lastID := 0
	claims := claim.New(&replayStore{t}, s.options(func() string {
		lastID++
		return fmt.Sprintf("%d.%d.%d", i, a.restarts, lastID)
	})...)
	for n := a.sentBefore; n < maxClaimSends; n++ {
		attempt := fmt.Sprintf("%d.%d", i+1, n+1)
		if s.submit(t, claims, attempt, report) {
			_, _ = claims.Settle(context.Background())
		}
	}
}

func (s claimState) options(id func() string) []claim.Option {
	opts := []claim.Option{claim.WithClock(func() time.Time { return modelTime }), claim.WithIDs(id)}
	switch s.disabled {
	case mechanismReadBack:
		opts = append(opts, claim.WithoutReadBack())
	case mechanismBothParts:
		opts = append(opts, claim.WithoutPreviousPartition())
	case mechanismLayoutCheck:
		opts = append(opts, claim.WithoutLayoutCheck())
	case mechanismUniqueID:
		opts = append(opts, claim.WithIDs(func() string { return "claim" }))
	}
	return opts
}

// submit sends one request. It returns true if a record may still have to be written to
// the store.
func (s claimState) submit(t *replayer, claims *claim.Claims, attempt string, report func(string)) bool {
	ctx := context.Background()
	decision, err := claims.Claim(ctx, claimKey, once.Request{
		ID: attempt, Attempt: attempt, Fingerprint: 1, Deadline: modelTime.Add(claimDeadline),
	})
	if err != nil {
		return false
	}
	if decision.Kind == once.KindRecorded {
		report(string(decision.Answer.Body))
	}
	if decision.Kind != once.KindGranted {
		return true
	}
	err = t.replyTo(call{kind: callRun, key: attempt}).err
	switch {
	case err == nil:
		_ = claims.Finish(ctx, claimKey, decision.Claim, once.Answer{Status: 200, Body: []byte(attempt)})
	case errors.Is(err, errNoRoute), s.disabled == mechanismReleaseUnsent:
		_ = claims.Release(ctx, claimKey, decision.Claim)
	}
	return true
}

package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/coretest"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
)

// fault is a fault injected into one step of an instance.
type fault string

const (
	faultNone      fault = "none"
	faultDown      fault = "down"       // store unavailable, nothing written
	faultReply     fault = "lost reply" // written, no reply
	faultWrite     fault = "lost write" // not written, no reply
	faultLate      fault = "late write" // no reply, written at a later step
	faultKill      fault = "kill"       // the instance is killed before the step
	faultKillAfter fault = "dies"       // the instance is killed after the step took effect
)

// call is a step that an instance is about to execute.
type call struct {
	actor int
	write bool
	// run executes the step when the scheduler selects it. It is nil if the actor has finished.
	run    func()
	answer chan fault
}

// schedule executes one step at a time and selects the step and its fault at random, so that
// a seed determines the whole sequence of events.
type schedule struct {
	t          *rapid.T
	calls      chan call
	blocked    map[int]call
	lateWrites []func()
	faults     []fault
	store      *platformtest.Fake

	runs     map[string]int    // executions by key
	attempts map[string]int    // executions by attempt
	answers  map[string]string // first recorded answer by key
	problems []string

	periodChange int // index of the first actor's resend after which a period begins, -1 for never

	mu      sync.Mutex
	holders map[string]*holder // by name
}

// holder is an instance that others may ask about its claims.
type holder struct {
	process *process
	claims  *Claims
}

// Ended implements Peers. A dead instance doesn't reply.
func (s *schedule) Ended(_ context.Context, name, path, claim string) (once.Record, bool) {
	s.mu.Lock()
	h, ok := s.holders[name]
	dead := !ok || h.process.dead
	s.mu.Unlock()
	if dead {
		return once.Record{}, false
	}
	return h.claims.Ended(path, claim)
}

func newSchedule(t *rapid.T, faults []fault) *schedule {
	return &schedule{
		t: t, calls: make(chan call), blocked: map[int]call{}, faults: faults, store: platformtest.New(),
		runs: map[string]int{}, attempts: map[string]int{}, answers: map[string]string{},
		holders: map[string]*holder{},
	}
}

// loop schedules the steps of the actors until all have finished.
func (s *schedule) loop(actors int) {
	for live := actors; live > 0; {
		for len(s.blocked) < live {
			c := <-s.calls
			if c.run == nil {
				live--
				continue
			}
			s.blocked[c.actor] = c
		}
		if live > 0 {
			s.step()
		}
	}
}

// step executes one step of a random blocked actor, with a random fault.
func (s *schedule) step() {
	ready := make([]int, 0, len(s.blocked))
	for actor := range 1 << 10 {
		if _, ok := s.blocked[actor]; ok {
			ready = append(ready, actor)
		}
		if len(ready) == len(s.blocked) {
			break
		}
	}
	c := s.blocked[rapid.SampledFrom(ready).Draw(s.t, "actor")]
	if len(s.lateWrites) > 0 && rapid.Bool().Draw(s.t, "late") {
		s.lateWrites[0]()
		s.lateWrites = s.lateWrites[1:]
	}
	f := rapid.SampledFrom(s.faults).Draw(s.t, "fault")
	delete(s.blocked, c.actor)
	switch {
	case f == faultKill || f == faultDown || (f == faultWrite && c.write):
	case f == faultLate && c.write:
		s.lateWrites = append(s.lateWrites, c.run)
	default:
		c.run()
	}
	c.answer <- f
}

// process is an instance whose store calls go through the schedule.
type process struct {
	s     *schedule
	actor int
	dead  bool
}

// step executes one step when the schedule selects it and returns the injected fault.
func (p *process) step(write bool, run func()) fault {
	if p.dead {
		return faultKill
	}
	c := call{actor: p.actor, write: write, run: run, answer: make(chan fault)}
	p.s.calls <- c
	f := <-c.answer
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.dead = f == faultKill || f == faultKillAfter
	return f
}

// write executes one write through the schedule and returns the error that the instance sees.
func (p *process) write(do func() error) error {
	var err error
	switch p.step(true, func() { err = do() }) {
	case faultReply, faultWrite, faultLate, faultKillAfter:
		return platform.ErrUncertain
	case faultDown, faultKill:
		return platform.ErrUnavailable
	default:
		return err
	}
}

// Get implements Store.
func (p *process) Get(ctx context.Context, key string) (entry platform.Entry, err error) {
	if f := p.step(false, func() { entry, err = p.s.store.Get(ctx, key) }); f != faultNone {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return entry, err
}

// List implements Store.
func (p *process) List(ctx context.Context, prefix string) (list []platform.Entry, err error) {
	p.step(false, func() { list, err = p.s.store.List(ctx, prefix) })
	return list, err
}

// Swap implements Store.
func (p *process) Swap(ctx context.Context, w platform.Write) (version platform.Version, err error) {
	err = p.write(func() error {
		var swapErr error
		version, swapErr = p.s.store.Swap(ctx, w)
		return swapErr
	})
	return version, err
}

// Commit implements Store.
func (p *process) Commit(ctx context.Context, writes ...platform.Write) error {
	return p.write(func() error { return p.s.store.Commit(ctx, writes...) })
}

const (
	actors   = 3
	resends  = 5
	testKeys = 2
)

// caller sends the same keys repeatedly through one instance. A killed instance is replaced by
// a new one without state.
func (s *schedule) caller(actor int, opts ...Option) {
	p := &process{s: s, actor: actor}
	claims := s.instance(p, opts...)
	for n := range resends {
		key := once.Key{Profile: "counter", Text: fmt.Sprint("key", n%testKeys)}
		attempt := fmt.Sprintf("a%d.%d", actor, n)
		s.submit(p, claims, key, attempt)
		if p.dead {
			p = &process{s: s, actor: actor}
			claims = s.instance(p, opts...)
			continue
		}
		_, _ = claims.Settle(context.Background())
		if n == s.periodChange && actor == 0 {
			_ = claims.beginPeriod(context.Background(), claims.cachedLayout())
		}
		if n%2 == 1 {
			_ = claims.Flush(context.Background())
		}
	}
	s.calls <- call{actor: actor}
}

func (s *schedule) instance(p *process, opts ...Option) *Claims {
	clock := func() time.Time { return coretest.Start }
	claims := New(p, append([]Option{WithClock(clock)}, opts...)...)
	if claims.batchDelay() > 0 {
		claims.peers = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[fmt.Sprint(p.actor)] = &holder{process: p, claims: claims}
	return claims
}

func (s *schedule) submit(p *process, claims *Claims, key once.Key, attempt string) {
	ctx := context.Background()
	request := once.Request{ID: attempt, Attempt: attempt, Fingerprint: 7, Holder: fmt.Sprint(p.actor), Deadline: coretest.Start.Add(time.Minute)}
	result, err := claims.Claim(ctx, key, request)
	if err != nil {
		s.addProblem(p, "claim: "+err.Error())
		return
	}
	switch result.Kind {
	case once.KindGranted:
		s.execute(p, claims, key, attempt, result.Claim)
	case once.KindRecorded:
		s.checkRecorded(p, key, string(result.Answer.Body))
	}
}

// execute runs the request and records its answer. With faultDown the endpoint is unreachable,
// and the claim is released.
func (s *schedule) execute(p *process, claims *Claims, key once.Key, attempt, claim string) {
	ctx := context.Background()
	switch p.step(true, func() { s.runs[key.Text]++; s.attempts[attempt]++ }) {
	case faultDown:
		_ = claims.Release(ctx, key, claim)
	case faultNone:
		_ = claims.Finish(ctx, key, claim, once.Answer{Status: 200, Body: []byte(attempt)})
	}
}

// checkRecorded checks that a recorded answer is always the same and comes from an attempt
// that ran once.
func (s *schedule) checkRecorded(p *process, key once.Key, answer string) {
	p.step(false, func() {
		first, seen := s.answers[key.Text]
		if !seen {
			s.answers[key.Text] = answer
		}
		if (seen && first != answer) || s.attempts[answer] != 1 {
			s.problems = append(s.problems, fmt.Sprintf("key %s answered with %s", key.Text, answer))
		}
	})
}

func (s *schedule) addProblem(p *process, text string) {
	p.step(false, func() { s.problems = append(s.problems, text) })
}

// run runs all callers until they finish.
func (s *schedule) run(opts ...Option) {
	var group errgroup.Group
	for actor := range actors {
		group.Go(func() error {
			s.caller(actor, opts...)
			return nil
		})
	}
	s.loop(actors)
	_ = group.Wait()
}

// maxRuns returns the largest number of executions of any key.
func (s *schedule) maxRuns() int {
	highest := 0
	for _, n := range s.runs {
		highest = max(highest, n)
	}
	return highest
}

var allFaults = []fault{
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
	faultDown, faultReply, faultWrite, faultLate, faultKill, faultKillAfter,
}

// checkSchedules runs check on random schedules with the given faults.
func checkSchedules(t *testing.T, faults []fault, check func(*rapid.T, *schedule), opts ...Option) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t, faults)
		s.periodChange = rapid.IntRange(-1, resends-1).Draw(t, "change")
		s.run(opts...)
		check(t, s)
	})
}

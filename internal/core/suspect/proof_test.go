package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

const poisonRequest Fingerprint = 66

const (
	endpoints        = 8
	instances        = 4
	poisonCopies     = 3 // callers that send the poison request concurrently, each until refused
	harmlessRequests = 40
	updateDelay      = 2 // steps until every instance has received the report of a crash
	runSteps         = 5 // steps that a harmless request takes
	crashSteps       = 2 // steps until the poison request crashes its endpoint
	steps            = 400
)

func withoutTracker(b *Tracker) { b.enabled = false }

// job is one request in the simulated fleet.
type job struct {
	fingerprint Fingerprint
	endpoint    int // -1 while it waits
	left        int
	trial       bool // sent as a suspect
	done        bool
	refused     bool
}

// simulation has instances that share endpoints and report crashes to each other with a delay.
type simulation struct {
	t                *rapid.T
	trackers         []*Tracker
	jobs             []*job
	generation       []int
	updates          map[int][]Suspect // by step of arrival
	useTrialEndpoint bool
	inferTrials      bool // whether trials are inferred when the endpoint crashes
	crashes          int
	unawareSends     int // poison requests sent when the receiving instance or the dispatcher had no report of a crash
	firstCrash       int
	lateUnawareSend  bool
}

func newSimulation(t *rapid.T, useTrialEndpoint bool, opts ...Option) *simulation {
	s := &simulation{t: t, generation: make([]int, endpoints), updates: map[int][]Suspect{}, useTrialEndpoint: useTrialEndpoint, firstCrash: -1}
	for range instances {
		s.trackers = append(s.trackers, New(opts...))
	}
	for range poisonCopies {
		s.jobs = append(s.jobs, &job{fingerprint: poisonRequest, endpoint: -1})
	}
	for i := range harmlessRequests {
		s.jobs = append(s.jobs, &job{fingerprint: Fingerprint(1000 + i), endpoint: -1})
	}
	return s
}

func (s *simulation) now(step int) time.Time {
	return coretest.Start.Add(time.Duration(step) * time.Second)
}

func (s *simulation) running(endpoint int) []Fingerprint {
	var list []Fingerprint
	for _, j := range s.jobs {
		if j.endpoint == endpoint {
			list = append(list, j.fingerprint)
		}
	}
	return list
}

func (s *simulation) step(step int) {
	for _, b := range s.trackers {
		b.Merge(s.now(step), s.updates[step])
	}
	for _, j := range s.jobs {
		if j.endpoint < 0 && !j.done && rapid.Bool().Draw(s.t, "send") {
			s.send(step, j)
		}
	}
	for _, j := range s.jobs {
		if j.endpoint < 0 {
			continue
		}
		if j.left--; j.left > 0 {
			continue
		}
		if j.fingerprint == poisonRequest {
			s.crash(step, j.endpoint)
			continue
		}
		for _, b := range s.trackers {
			b.Finished(s.now(step), j.fingerprint)
		}
		j.endpoint, j.done = -1, true
	}
}

// send gives a request to a random instance, which chooses an endpoint; the instance that
// dispatches for the endpoint admits it.
func (s *simulation) send(step int, j *job) {
	entry := s.trackers[rapid.IntRange(0, instances-1).Draw(s.t, "instance")]
	endpoint := rapid.IntRange(0, endpoints-1).Draw(s.t, "endpoint")
	entryAware := entry.Suspected(s.now(step), j.fingerprint)
	if s.useTrialEndpoint && entryAware {
		endpoint = s.trialEndpoint(j.fingerprint)
	}
	dispatcher := s.trackers[endpoint%instances]
	dispatcherAware := dispatcher.Suspected(s.now(step), j.fingerprint)
	switch dispatcher.Admit(s.now(step), j.fingerprint, s.running(endpoint)) {
	case DecisionRefuse:
		j.done, j.refused = true, true
	case DecisionRun:
		j.endpoint, j.left, j.trial = endpoint, runSteps, dispatcherAware
		if j.fingerprint == poisonRequest {
			j.left = crashSteps
			s.countUnawareSend(step, dispatcherAware && entryAware)
		}
	}
}

func (s *simulation) countUnawareSend(step int, aware bool) {
	if aware {
		return
	}
	s.unawareSends++
	s.lateUnawareSend = s.lateUnawareSend || (s.firstCrash >= 0 && step > s.firstCrash+updateDelay)
}

func (s *simulation) trialEndpoint(f Fingerprint) int {
	var list []fleet.Endpoint
	for i := range endpoints {
		list = append(list, fleet.Endpoint(fmt.Sprint(i)))
	}
	chosen := 0
	_, _ = fmt.Sscan(string(TrialEndpoint(f, list)), &chosen)
	return chosen
}

// crash ends an endpoint's incarnation. The instance that dispatches for it records the
// crash at once, the others receive the report later. The callers retry all its requests.
func (s *simulation) crash(step, endpoint int) {
	s.crashes++
	if s.firstCrash < 0 {
		s.firstCrash = step
	}
	s.generation[endpoint]++
	incarnation := fmt.Sprintf("e%d#%d", endpoint, s.generation[endpoint])
	updates := s.recordCrash(step, endpoint, incarnation)
	s.updates[step+updateDelay] = append(s.updates[step+updateDelay], updates...)
	for _, j := range s.jobs {
		if j.endpoint == endpoint {
			j.endpoint = -1
		}
	}
}

func (s *simulation) recordCrash(step, endpoint int, incarnation string) []Suspect {
	dispatcher := s.trackers[endpoint%instances]
	if s.inferTrials {
		return dispatcher.RecordCrashInferTrials(s.now(step), incarnation, s.running(endpoint))
	}
	var runs []Run
	for _, j := range s.jobs {
		if j.endpoint == endpoint {
			runs = append(runs, Run{Fingerprint: j.fingerprint, Trial: j.trial})
		}
	}
	return dispatcher.RecordCrash(s.now(step), incarnation, runs)
}

func (s *simulation) run() {
	for step := range steps {
		s.step(step)
	}
}

// The number of crashes is bounded by the poison requests sent before the report of the
// first crash arrived, plus one for the trial. When trials are inferred only at the crash,
// each of those requests may invalidate one trial. All harmless requests finish.
func TestPoisonRequestIsRefusedAndOthersFinish(t *testing.T) {
	tests := []struct {
		name        string
		inferTrials bool
		bound       func(unawareSends int) int
	}{
		{name: "trials recorded", bound: func(n int) int { return n + 1 }},
		{name: "trials inferred", inferTrials: true, bound: func(n int) int { return 2*n + 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, true)
				s.inferTrials = tt.inferTrials
				s.run()
				require.LessOrEqual(t, s.crashes, tt.bound(s.unawareSends))
				require.False(t, s.lateUnawareSend, "a poison request was sent by an unaware instance after the report had arrived")
				for _, j := range s.jobs {
					require.True(t, j.done, "request %d neither finished nor was refused", j.fingerprint)
					require.Equal(t, j.fingerprint == poisonRequest, j.refused, "request %d", j.fingerprint)
				}
			})
		})
	}
}

// A caller that retries after each failure crashes two endpoints at most, as long as the
// reports arrive before its retries.
func TestSequentialRetriesCrashTwoEndpoints(t *testing.T) {
	trackers := []*Tracker{New(), New(), New()}
	now := coretest.Start
	crashes := 0
	for i := range 20 {
		now = now.Add(time.Second)
		tracker := trackers[i%len(trackers)]
		if tracker.Admit(now, poisonRequest, []Fingerprint{1, 2}) != DecisionRun {
			continue
		}
		crashes++
		updates := tracker.RecordCrashInferTrials(now, fmt.Sprint("e#", i), []Fingerprint{poisonRequest, 1, 2})
		tracker.Finished(now, 1)
		tracker.Finished(now, 2)
		for _, b := range trackers {
			b.Merge(now, updates)
			b.Finished(now, 1)
			b.Finished(now, 2)
		}
	}
	require.Equal(t, 2, crashes)
}

// Shows that the bound on crashes depends on the tracker and on the trial endpoint.
func TestBoundFailsWithMechanismDisabled(t *testing.T) {
	tests := []struct {
		name             string
		useTrialEndpoint bool
		opts             []Option
	}{
		{name: "no tracker", useTrialEndpoint: true, opts: []Option{withoutTracker}},
		{name: "no trial endpoint", useTrialEndpoint: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			maxExcess := 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, tt.useTrialEndpoint, tt.opts...)
				s.run()
				maxExcess = max(maxExcess, s.crashes-s.unawareSends-1, excessCrashes(s))
			})
			require.Positive(t, maxExcess, "crashes over the bound")
		})
	}
}

// excessCrashes returns by how much a run without a tracker exceeds the bound.
func excessCrashes(s *simulation) int {
	if !s.lateUnawareSend {
		return 0
	}
	return s.crashes - poisonCopies - 1
}

func TestTrackerIsBounded(t *testing.T) {
	b := New(WithLimit(10), WithExpiry(time.Hour))
	now := coretest.Start
	b.RecordCrashInferTrials(now, "e#1", []Fingerprint{poisonRequest})
	b.RecordCrashInferTrials(now, "e#2", []Fingerprint{poisonRequest})
	for i := range 1000 {
		now = now.Add(time.Second)
		b.RecordCrashInferTrials(now, fmt.Sprint("x#", i), []Fingerprint{Fingerprint(i + 100)})
	}
	require.Equal(t, 10, b.Len())
	require.True(t, b.IsPoison(now, poisonRequest), "poison requests are evicted last")
	require.Len(t, b.Updates(now, coretest.Start, 5), 5)
	require.False(t, b.IsPoison(now.Add(2*time.Hour), poisonRequest))
}

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

const killer Fingerprint = 66

const (
	endpoints = 8
	instances = 4
	copies    = 3 // callers that send the killer at once, each until refused
	innocents = 40
	newsDelay = 2 // steps until every instance has heard of a death
	runSteps  = 5 // steps that an innocent request takes
	killSteps = 2 // steps until the killer takes its endpoint down
	steps     = 400
)

func withoutBook(b *Book) { b.enabled = false }

// job is one request in the simulated fleet.
type job struct {
	print    Fingerprint
	endpoint int // -1 while it waits
	left     int
	trial    bool // sent as a suspect
	done     bool
	refused  bool
}

// simulation has instances that share endpoints and tell each other of deaths late.
type simulation struct {
	t          *rapid.T
	books      []*Book
	jobs       []*job
	generation []int
	news       map[int][]Suspect // by step of arrival
	trial      bool
	guess      bool // whether trials are told apart only at the death
	deaths     int
	unknowing  int // killer copies sent when the entry or the dispatcher had not heard of a death
	firstDeath int
	lateStart  bool
}

func newSimulation(t *rapid.T, trial bool, opts ...Option) *simulation {
	s := &simulation{t: t, generation: make([]int, endpoints), news: map[int][]Suspect{}, trial: trial, firstDeath: -1}
	for range instances {
		s.books = append(s.books, New(opts...))
	}
	for range copies {
		s.jobs = append(s.jobs, &job{print: killer, endpoint: -1})
	}
	for i := range innocents {
		s.jobs = append(s.jobs, &job{print: Fingerprint(1000 + i), endpoint: -1})
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
			list = append(list, j.print)
		}
	}
	return list
}

func (s *simulation) step(step int) {
	for _, b := range s.books {
		b.Merge(s.now(step), s.news[step])
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
		if j.print == killer {
			s.die(step, j.endpoint)
			continue
		}
		for _, b := range s.books {
			b.Finished(s.now(step), j.print)
		}
		j.endpoint, j.done = -1, true
	}
}

// send hands a request to a random instance, which picks an endpoint; the endpoint's
// own dispatcher admits it.
func (s *simulation) send(step int, j *job) {
	entry := s.books[rapid.IntRange(0, instances-1).Draw(s.t, "instance")]
	endpoint := rapid.IntRange(0, endpoints-1).Draw(s.t, "endpoint")
	told := entry.Suspected(s.now(step), j.print)
	if s.trial && told {
		endpoint = s.place(j.print)
	}
	book := s.books[endpoint%instances]
	knows := book.Suspected(s.now(step), j.print)
	switch book.Admit(s.now(step), j.print, s.running(endpoint)) {
	case DecisionRefuse:
		j.done, j.refused = true, true
	case DecisionRun:
		j.endpoint, j.left, j.trial = endpoint, runSteps, knows
		if j.print == killer {
			j.left = killSteps
			s.count(step, knows && told)
		}
	}
}

func (s *simulation) count(step int, knows bool) {
	if knows {
		return
	}
	s.unknowing++
	s.lateStart = s.lateStart || (s.firstDeath >= 0 && step > s.firstDeath+newsDelay)
}

func (s *simulation) place(f Fingerprint) int {
	var list []fleet.Endpoint
	for i := range endpoints {
		list = append(list, fleet.Endpoint(fmt.Sprint(i)))
	}
	chosen := 0
	_, _ = fmt.Sscan(string(Trial(f, list)), &chosen)
	return chosen
}

// die takes an endpoint down; the instance that dispatches it sees it, the others
// hear of it later. All its requests are sent again by their callers.
func (s *simulation) die(step, endpoint int) {
	s.deaths++
	if s.firstDeath < 0 {
		s.firstDeath = step
	}
	s.generation[endpoint]++
	incarnation := fmt.Sprintf("e%d#%d", endpoint, s.generation[endpoint])
	news := s.blame(step, endpoint, incarnation)
	s.news[step+newsDelay] = append(s.news[step+newsDelay], news...)
	for _, j := range s.jobs {
		if j.endpoint == endpoint {
			j.endpoint = -1
		}
	}
}

func (s *simulation) blame(step, endpoint int, incarnation string) []Suspect {
	book := s.books[endpoint%instances]
	if s.guess {
		return book.Died(s.now(step), incarnation, s.running(endpoint))
	}
	var runs []Run
	for _, j := range s.jobs {
		if j.endpoint == endpoint {
			runs = append(runs, Run{Fingerprint: j.print, Trial: j.trial})
		}
	}
	return book.Blame(s.now(step), incarnation, runs)
}

func (s *simulation) run() {
	for step := range steps {
		s.step(step)
	}
}

// Deaths are bounded by the copies of the killer that were sent before the news of the
// first death had come, and one more for the trial. When trials are told apart only at
// the death, each of those copies may spoil one trial. Innocents all finish.
func TestKillerIsConvictedAndInnocentsFinish(t *testing.T) {
	tests := []struct {
		name  string
		guess bool
		bound func(unknowing int) int
	}{
		{name: "trials known", bound: func(n int) int { return n + 1 }},
		{name: "trials guessed", guess: true, bound: func(n int) int { return 2*n + 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, true)
				s.guess = tt.guess
				s.run()
				require.LessOrEqual(t, s.deaths, tt.bound(s.unknowing))
				require.False(t, s.lateStart, "a copy was sent unknowing after the news had come")
				for _, j := range s.jobs {
					require.True(t, j.done, "request %d never ended", j.print)
					require.Equal(t, j.print == killer, j.refused, "request %d", j.print)
				}
			})
		})
	}
}

// One caller that sends again only after each failure costs two endpoints, as long as
// news are faster than it.
func TestSequentialResendsCostTwoEndpoints(t *testing.T) {
	books := []*Book{New(), New(), New()}
	now := coretest.Start
	deaths := 0
	for i := range 20 {
		now = now.Add(time.Second)
		book := books[i%len(books)]
		if book.Admit(now, killer, []Fingerprint{1, 2}) != DecisionRun {
			continue
		}
		deaths++
		news := book.Died(now, fmt.Sprint("e#", i), []Fingerprint{killer, 1, 2})
		book.Finished(now, 1)
		book.Finished(now, 2)
		for _, b := range books {
			b.Merge(now, news)
			b.Finished(now, 1)
			b.Finished(now, 2)
		}
	}
	require.Equal(t, 2, deaths)
}

// With a mechanism off the bound doesn't hold.
func TestBoundNeedsItsMechanisms(t *testing.T) {
	tests := []struct {
		name  string
		trial bool
		opts  []Option
	}{
		{name: "no book", trial: true, opts: []Option{withoutBook}},
		{name: "no trial endpoint", trial: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worst := 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, tt.trial, tt.opts...)
				s.run()
				worst = max(worst, s.deaths-s.unknowing-1, lateDeaths(s))
			})
			require.Positive(t, worst, "deaths over the bound")
		})
	}
}

// lateDeaths is how far a run without any book is over the bound that the news allow.
func lateDeaths(s *simulation) int {
	if !s.lateStart {
		return 0
	}
	return s.deaths - copies - 1
}

func TestBookStaysBounded(t *testing.T) {
	b := New(WithLimit(10), WithExpiry(time.Hour))
	now := coretest.Start
	b.Died(now, "e#1", []Fingerprint{killer})
	b.Died(now, "e#2", []Fingerprint{killer})
	for i := range 1000 {
		now = now.Add(time.Second)
		b.Died(now, fmt.Sprint("x#", i), []Fingerprint{Fingerprint(i + 100)})
	}
	require.Equal(t, 10, b.Len())
	require.True(t, b.Convicted(now, killer), "convictions are kept longest")
	require.Len(t, b.News(now, coretest.Start, 5), 5)
	require.False(t, b.Convicted(now.Add(2*time.Hour), killer))
}

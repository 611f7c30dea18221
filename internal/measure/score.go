package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// outcome is the result of a request for its caller.
type outcome string

const (
	outcomeOpen      outcome = ""
	outcomeAttained  outcome = "attained"
	outcomeLate      outcome = "late"
	outcomeSlow      outcome = "slow"
	outcomeRefused   outcome = "refused"
	outcomeAbandoned outcome = "abandoned"
	outcomeFailed    outcome = "failed"
	outcomePoison    outcome = "convicted"
)

// score collects the outcomes of one simulation.
type score struct {
	deployment       *Deployment
	scene            *Scene
	requests         []*request
	outcomes         []outcome
	firstTokenDelays []time.Duration
	refusals         int
	wrongRefusals    int
	crashes          int
	preempted        int
	moves            int
	linkBytes        float64
}

func newScore(d *Deployment, s *Scene, all []*request) *score {
	return &score{
		deployment: d, scene: s, requests: all,
		outcomes:         make([]outcome, len(all)),
		firstTokenDelays: make([]time.Duration, len(all)),
	}
}

// classify compares an answer with its targets. Time counts from the first
// submission of the request.
func (s *score) classify(c *call, now, responseDelay time.Duration) outcome {
	class := c.req.class
	firstTokenDelay := c.firstTokenAt + responseDelay - c.req.arrived
	s.firstTokenDelays[c.req.id] = firstTokenDelay
	gap := (now - c.firstTokenAt) / time.Duration(max(c.req.answerTokens-1, 1))
	if firstTokenDelay > class.FirstTokenTarget {
		return outcomeLate
	}
	if class.TokenGapTarget > 0 && gap > class.TokenGapTarget {
		return outcomeSlow
	}
	return outcomeAttained
}

func (s *score) record(c *call, o outcome) {
	s.outcomes[c.req.id] = o
}

// countRefusal counts a refusal; it is wrong when an endpoint could have served the request.
func (s *score) countRefusal(_ *request, wrong bool) {
	s.refusals++
	if wrong {
		s.wrongRefusals++
	}
}

// Tally counts requests by outcome.
type Tally struct {
	Total    int
	Attained int
	// Late answers missed the first token target, Slow ones the token gap target.
	Late int
	Slow int
	// Refused includes requests that their callers abandoned.
	Refused int
	// Failed requests ended without an answer.
	Failed int
}

// Rate returns the fraction that met its targets, 1 when there were no requests.
func (t Tally) Rate() float64 {
	if t.Total == 0 {
		return 1
	}
	return float64(t.Attained) / float64(t.Total)
}

// Result is the measured result of one simulation.
type Result struct {
	Scene  string
	Policy string
	Seed   uint64
	// Ranks covers the complete scene, Flood the time of the flood; both are by rank.
	Ranks [3]Tally
	Flood [3]Tally
	// FloodWork is the work of the requests that arrived during the flood and met
	// their targets, by rank, in accelerator seconds.
	FloodWork [3]float64
	// Others covers the flooded rank during a flood, without the profile that floods it.
	Others Tally
	// Worth is the attained worth per accelerator minute; Bound is what the
	// hardware would allow with perfect knowledge.
	Worth float64
	Bound float64
	// StoreBound is what the weight store would allow if its limits were the only ones.
	StoreBound float64
	// Answers is the number of requests that met their targets, per accelerator minute.
	Answers float64
	Moves   int
	Crashes int
	// Preempted counts the bulk streams that were preempted by urgent requests.
	Preempted int
	Refusals  int
	// WrongRefusals counts refusals while an endpoint could have served the request.
	WrongRefusals int
	LinkBytes     float64
}

// isScored reports whether a request counts: its caller's timeout ends within the
// scene, and it is no poison request.
func (s *score) isScored(r *request) bool {
	return !r.poison && r.arrived+r.class.CallerTimeout <= s.scene.Length
}

func (s *score) result(policy string, seed uint64) Result {
	out := Result{
		Scene: s.scene.Name, Policy: policy, Seed: seed, Moves: s.moves, Crashes: s.crashes, Preempted: s.preempted,
		Refusals: s.refusals, WrongRefusals: s.wrongRefusals, LinkBytes: s.linkBytes,
	}
	worth, answers := 0.0, 0
	for i, r := range s.requests {
		if !s.isScored(r) {
			continue
		}
		s.tally(&out, r, s.outcomes[i])
		if s.outcomes[i] == outcomeAttained {
			worth += Worth(r.class.Rank)
			answers++
		}
	}
	acceleratorMinutes := float64(s.deployment.Accelerators()) * s.scene.Length.Minutes()
	out.Worth = worth / acceleratorMinutes
	out.Answers = float64(answers) / acceleratorMinutes
	out.Bound = s.worthBound() / acceleratorMinutes
	out.StoreBound = s.storeBound() / acceleratorMinutes
	return out
}

func (s *score) tally(out *Result, r *request, o outcome) {
	level := r.class.Rank.Level()
	addOutcome(&out.Ranks[level], o)
	f := &s.scene.Flood
	if f.Factor == 0 || !f.Span.contains(r.arrived) {
		return
	}
	addOutcome(&out.Flood[level], o)
	if o == outcomeAttained {
		out.FloodWork[level] += r.work()
	}
	if f.Profile != "" && r.class.Profile != f.Profile && r.class.Rank == s.floodRank() {
		addOutcome(&out.Others, o)
	}
}

// floodRank returns the rank that the scene floods.
func (s *score) floodRank() fleet.Rank {
	f := &s.scene.Flood
	for i := range s.deployment.Classes {
		if s.deployment.Classes[i].Profile == f.Profile {
			return s.deployment.Classes[i].Rank
		}
	}
	return f.Rank
}

func addOutcome(t *Tally, o outcome) {
	t.Total++
	switch o {
	case outcomeAttained:
		t.Attained++
	case outcomeLate:
		t.Late++
	case outcomeSlow:
		t.Slow++
	case outcomeRefused, outcomeAbandoned:
		t.Refused++
	case outcomeFailed, outcomePoison:
		t.Failed++
	}
}

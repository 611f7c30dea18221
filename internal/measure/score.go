package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// outcome says how a request ended for its caller.
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

// score gathers the outcomes of one run.
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

// classify compares an answer with its targets, counted from the caller's first try.
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

// countRefusal counts one refusal; wrong when an endpoint could have served.
func (s *score) countRefusal(_ *request, wrong bool) {
	s.refusals++
	if wrong {
		s.wrongRefusals++
	}
}

// Tally counts requests of one rank.
type Tally struct {
	Total    int
	Attained int
	// Late answers had a late first token, Slow ones too much time between tokens.
	Late    int
	Slow    int
	Refused int
	// Failed requests ended without an answer.
	Failed int
}

// Rate returns the attained part, 1 when there was nothing to do.
func (t Tally) Rate() float64 {
	if t.Total == 0 {
		return 1
	}
	return float64(t.Attained) / float64(t.Total)
}

// Result is what one run is judged by.
type Result struct {
	Scene  string
	Policy string
	Seed   uint64
	// Ranks is by rank over the whole scene; Flood only while the flood lasts.
	Ranks [3]Tally
	Flood [3]Tally
	// FloodWork is the work answered in time while the flood lasts, by rank, in
	// seconds of one accelerator.
	FloodWork [3]float64
	// Others is the flooded rank during a flood, without the flooding profile.
	Others Tally
	// Worth is attained worth for each accelerator and minute; Bound is what
	// the hardware would allow with perfect knowledge.
	Worth float64
	Bound float64
	// StoreBound is what the weight store would allow, its limits being the only ones.
	StoreBound float64
	// Answers is attained requests for each accelerator and minute.
	Answers float64
	Moves   int
	Crashes int
	// Preempted counts the bulk streams that were stopped for urgent requests.
	Preempted     int
	Refusals      int
	WrongRefusals int
	LinkBytes     float64
}

// isScored reports whether a request is judged: its answer could be due within the scene.
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

// floodRank returns the rank of the flooding work.
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

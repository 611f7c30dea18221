package load

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/inifile"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	longestPlan  = 6 * time.Hour
	mostRequests = 10_000_000
	mostRate     = 100_000 // requests a second
	mostTokens   = 100_000
)

// Plan is an experiment: what is sent, when, and within which bounds.
type Plan struct {
	// Document is the path of the document in force, for ranks and targets.
	Document string
	Seed     int
	// Callers share the requests.
	Callers int
	// Flight is the most requests unanswered at once; more are dropped.
	Flight int
	// Requests is the most requests of the whole run.
	Requests int
	// Deadline is the longest time for one request.
	Deadline time.Duration
	// Slice is the step of the plot.
	Slice  time.Duration
	Stages []Stage
}

// Stage is a stream of requests of one profile. Stages may overlap.
type Stage struct {
	Name     string
	Start    time.Duration
	Duration time.Duration
	// Rate is requests a second.
	Rate    float64
	Profile string
	Targets []Share
	Kind    Kind
	// Prompt is the length of prompts, words.
	Prompt int
	// Tokens is the length of answers.
	Tokens int
}

// Share is a target with its weight among those of a stage.
type Share struct {
	Target string
	Weight float64
}

// ParsePlan reads and checks a plan. The name is its path: the document's path
// is taken from there.
func ParsePlan(name string, text []byte) (Plan, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Seed: 1, Callers: 16, Flight: 1000, Requests: 100_000, Deadline: 30 * time.Second, Slice: time.Second}
	for _, section := range file.Sections() {
		if err := plan.add(section); err != nil {
			return Plan{}, err
		}
	}
	if plan.Document == "" {
		return Plan{}, inifile.CheckMissingSection(name, "run", plan.fields())
	}
	plan.Document = filepath.Join(filepath.Dir(name), plan.Document)
	return plan, plan.check(name)
}

func (p *Plan) add(section inifile.Section) error {
	if section.Name() == "run" {
		return section.Decode(p.fields())
	}
	kind, label := section.Kind()
	if kind != "stage" || !inifile.IsName(label) {
		return section.NewError("", "unknown section", `[run] or [stage "NAME"]`)
	}
	stage := Stage{Name: label, Kind: KindStream, Prompt: 20, Tokens: 16}
	if err := section.Decode(stage.fields()); err != nil {
		return err
	}
	p.Stages = append(p.Stages, stage)
	return nil
}

func (p *Plan) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Text("document", &p.Document).AsRequired(),
		inifile.Count("seed", &p.Seed, 0, 1<<30),
		inifile.Count("callers", &p.Callers, 1, 10_000),
		inifile.Count("flight", &p.Flight, 1, 100_000),
		inifile.Count("requests", &p.Requests, 1, mostRequests),
		inifile.Duration("deadline", &p.Deadline, time.Millisecond),
		inifile.Duration("slice", &p.Slice, 10*time.Millisecond),
	}
}

func (s *Stage) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Duration("start", &s.Start, 0),
		inifile.Duration("duration", &s.Duration, time.Millisecond).AsRequired(),
		inifile.Number("rate", &s.Rate, 0.001, mostRate).AsRequired().WithWant("requests a second, 0.001 to 100000"),
		inifile.Name("profile", &s.Profile).AsRequired(),
		inifile.Custom("targets", "a comma list of models or /service/paths, each with an optional :weight", s.setTargets, s.targets).AsRequired(),
		inifile.Choice("kind", &s.Kind, KindStream, KindWhole),
		inifile.Count("prompt", &s.Prompt, 1, mostTokens),
		inifile.Count("tokens", &s.Tokens, 1, mostTokens),
	}
}

func (s *Stage) setTargets(text string) bool {
	s.Targets = nil
	for item := range strings.SplitSeq(text, ",") {
		target, weight, weighted := strings.Cut(strings.TrimSpace(item), ":")
		share := Share{Target: target, Weight: 1}
		if weighted {
			if _, err := fmt.Sscanf(weight, "%g", &share.Weight); err != nil || share.Weight <= 0 {
				return false
			}
		}
		if target == "" {
			return false
		}
		s.Targets = append(s.Targets, share)
	}
	return true
}

func (s *Stage) targets() string {
	var items []string
	for _, share := range s.Targets {
		items = append(items, fmt.Sprintf("%s:%g", share.Target, share.Weight))
	}
	return strings.Join(items, ", ")
}

// check bounds the whole run in time and count.
func (p Plan) check(name string) error {
	fault := func(section, key, given, want string) error {
		return &inifile.Error{File: name, Section: section, Key: key, Got: given, Want: want}
	}
	if len(p.Stages) == 0 {
		return fault("", "", "no stage", `[stage "NAME"]`)
	}
	var sum float64
	for _, s := range p.Stages {
		if s.Start+s.Duration > longestPlan {
			return fault(`stage "`+s.Name+`"`, "duration", "ends after "+(s.Start+s.Duration).String(), longestPlan.String()+" at most")
		}
		sum += s.Rate * s.Duration.Seconds()
	}
	if sum > float64(p.Requests) {
		return fault("run", "requests", fmt.Sprintf("the stages send about %.0f", sum), fmt.Sprintf("%d at most, or a larger bound", p.Requests))
	}
	return nil
}

// Calls returns what the plan sends, in order. The same seed gives the same calls.
func (p Plan) Calls(document profile.Document) ([]Call, error) {
	var calls []Call
	for i, stage := range p.Stages {
		known, found := document.Profile(stage.Profile)
		if !found {
			return nil, fmt.Errorf("stage %q: profile %q is not in %s", stage.Name, stage.Profile, p.Document)
		}
		random := rand.New(rand.NewPCG(uint64(p.Seed), uint64(i)))
		calls = append(calls, stage.calls(random, known.Rank)...)
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return int(a.Due - b.Due) })
	if len(calls) > p.Requests {
		calls = calls[:p.Requests]
	}
	return calls, nil
}

// calls draws arrivals that know nothing of each other.
func (s Stage) calls(random *rand.Rand, rank profile.Rank) []Call {
	var calls []Call
	var at time.Duration
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Duration {
			return calls
		}
		call := Call{
			Stage: s.Name, Profile: s.Profile, Rank: rank, Kind: s.Kind, Due: s.Start + at,
			Target: s.pick(random), Prompt: s.words(random), Tokens: s.Tokens,
		}
		if strings.HasPrefix(call.Target, "/") {
			call.Kind, call.Key = KindService, uuid.NewString()
		}
		calls = append(calls, call)
	}
}

func (s Stage) pick(random *rand.Rand) string {
	var sum float64
	for _, share := range s.Targets {
		sum += share.Weight
	}
	at := random.Float64() * sum
	for _, share := range s.Targets {
		if at -= share.Weight; at < 0 {
			return share.Target
		}
	}
	return s.Targets[len(s.Targets)-1].Target
}

var vocabulary = []string{"red", "blue", "wool", "leather", "left", "right", "glove", "mitten", "scarf", "found", "bus", "school"}

func (s Stage) words(random *rand.Rand) string {
	words := make([]string, s.Prompt)
	for i := range words {
		words[i] = vocabulary[random.IntN(len(vocabulary))]
	}
	return strings.Join(words, " ")
}

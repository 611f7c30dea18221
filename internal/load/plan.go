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
	maxPlanDuration = 6 * time.Hour
	maxRequests     = 10_000_000
	maxRate         = 100_000 // requests per second
	maxTokens       = 100_000
)

// Plan is a load experiment: the requests, their schedule and the limits of the run.
type Plan struct {
	// Document is the path of the current document, which defines the ranks and
	// latency targets of profiles.
	Document string
	Seed     int
	// Callers is the number of callers that the requests are spread over.
	Callers int
	// MaxInFlight limits the requests in flight; requests beyond it are dropped.
	MaxInFlight int
	// MaxRequests limits the requests of the entire run.
	MaxRequests int
	// Deadline is the timeout of one request.
	Deadline time.Duration
	// PlotInterval is the time that each point of the plot aggregates.
	PlotInterval time.Duration
	Stages       []Stage
}

// Stage is a phase of the run that sends requests of one profile at a given rate.
// Stages may overlap.
type Stage struct {
	Name     string
	Start    time.Duration
	Duration time.Duration
	// Rate is the mean number of requests per second.
	Rate    float64
	Profile string
	Targets []WeightedTarget
	Kind    Kind
	// PromptWords is the length of prompts in words.
	PromptWords int
	// MaxTokens is the length of the requested answers.
	MaxTokens int
}

// WeightedTarget is a target and its relative weight within a stage.
type WeightedTarget struct {
	Target string
	Weight float64
}

// ParsePlan parses and validates a plan. The name is the path of the plan; the
// path of its document is relative to the plan's directory.
func ParsePlan(name string, text []byte) (Plan, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Seed: 1, Callers: 16, MaxInFlight: 1000, MaxRequests: 100_000, Deadline: 30 * time.Second, PlotInterval: time.Second}
	for _, section := range file.Sections() {
		if err := plan.addSection(section); err != nil {
			return Plan{}, err
		}
	}
	if plan.Document == "" {
		return Plan{}, inifile.CheckMissingSection(name, "run", plan.iniFields())
	}
	plan.Document = filepath.Join(filepath.Dir(name), plan.Document)
	return plan, plan.validate(name)
}

func (p *Plan) addSection(section inifile.Section) error {
	if section.Name() == "run" {
		return section.Decode(p.iniFields())
	}
	kind, label := section.Kind()
	if kind != "stage" || !inifile.IsName(label) {
		return section.NewError("", "unknown section", `[run] or [stage "NAME"]`)
	}
	stage := Stage{Name: label, Kind: KindStream, PromptWords: 20, MaxTokens: 16}
	if err := section.Decode(stage.iniFields()); err != nil {
		return err
	}
	p.Stages = append(p.Stages, stage)
	return nil
}

func (p *Plan) iniFields() []inifile.Field {
	return []inifile.Field{
		inifile.Text("document", &p.Document).AsRequired(),
		inifile.Count("seed", &p.Seed, 0, 1<<30),
		inifile.Count("callers", &p.Callers, 1, 10_000),
		inifile.Count("flight", &p.MaxInFlight, 1, 100_000),
		inifile.Count("requests", &p.MaxRequests, 1, maxRequests),
		inifile.Duration("deadline", &p.Deadline, time.Millisecond),
		inifile.Duration("slice", &p.PlotInterval, 10*time.Millisecond),
	}
}

func (s *Stage) iniFields() []inifile.Field {
	return []inifile.Field{
		inifile.Duration("start", &s.Start, 0),
		inifile.Duration("duration", &s.Duration, time.Millisecond).AsRequired(),
		inifile.Number("rate", &s.Rate, 0.001, maxRate).AsRequired().WithWant("requests per second, 0.001 to 100000"),
		inifile.Name("profile", &s.Profile).AsRequired(),
		inifile.Custom("targets", "a comma-separated list of models or /service/paths, each with an optional :weight", s.setTargets, s.formatTargets).AsRequired(),
		inifile.Choice("kind", &s.Kind, KindStream, KindNonStreaming),
		inifile.Count("prompt", &s.PromptWords, 1, maxTokens),
		inifile.Count("tokens", &s.MaxTokens, 1, maxTokens),
	}
}

func (s *Stage) setTargets(text string) bool {
	s.Targets = nil
	for item := range strings.SplitSeq(text, ",") {
		target, weight, weighted := strings.Cut(strings.TrimSpace(item), ":")
		weightedTarget := WeightedTarget{Target: target, Weight: 1}
		if weighted {
			if _, err := fmt.Sscanf(weight, "%g", &weightedTarget.Weight); err != nil || weightedTarget.Weight <= 0 {
				return false
			}
		}
		if target == "" {
			return false
		}
		s.Targets = append(s.Targets, weightedTarget)
	}
	return true
}

func (s *Stage) formatTargets() string {
	var items []string
	for _, weightedTarget := range s.Targets {
		items = append(items, fmt.Sprintf("%s:%g", weightedTarget.Target, weightedTarget.Weight))
	}
	return strings.Join(items, ", ")
}

// validate checks the limits on the duration of the run and its number of requests.
func (p Plan) validate(name string) error {
	invalid := func(section, key, got, want string) error {
		return &inifile.Error{File: name, Section: section, Key: key, Got: got, Want: want}
	}
	if len(p.Stages) == 0 {
		return invalid("", "", "no stage", `[stage "NAME"]`)
	}
	var totalRequests float64
	for _, s := range p.Stages {
		if s.Start+s.Duration > maxPlanDuration {
			return invalid(`stage "`+s.Name+`"`, "duration", "ends after "+(s.Start+s.Duration).String(), maxPlanDuration.String()+" at most")
		}
		totalRequests += s.Rate * s.Duration.Seconds()
	}
	if totalRequests > float64(p.MaxRequests) {
		return invalid("run", "requests", fmt.Sprintf("the stages send about %.0f", totalRequests), fmt.Sprintf("%d at most, or a higher limit", p.MaxRequests))
	}
	return nil
}

// Calls returns the calls of the plan in the order they are due. The same seed
// gives the same calls, apart from their idempotency keys.
func (p Plan) Calls(document profile.Document) ([]Call, error) {
	var calls []Call
	for i, stage := range p.Stages {
		stageProfile, found := document.Profile(stage.Profile)
		if !found {
			return nil, fmt.Errorf("stage %q: profile %q is not in %s", stage.Name, stage.Profile, p.Document)
		}
		random := rand.New(rand.NewPCG(uint64(p.Seed), uint64(i)))
		calls = append(calls, stage.drawCalls(random, stageProfile.Rank)...)
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return int(a.Due - b.Due) })
	if len(calls) > p.MaxRequests {
		calls = calls[:p.MaxRequests]
	}
	return calls, nil
}

// drawCalls draws the calls of the stage, with Poisson arrivals (exponentially
// distributed gaps).
func (s Stage) drawCalls(random *rand.Rand, rank profile.Rank) []Call {
	var calls []Call
	var offset time.Duration
	for {
		offset += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if offset >= s.Duration {
			return calls
		}
		call := Call{
			Stage: s.Name, Profile: s.Profile, Rank: rank, Kind: s.Kind, Due: s.Start + offset,
			Target: s.drawTarget(random), Prompt: s.drawPrompt(random), MaxTokens: s.MaxTokens,
		}
		if strings.HasPrefix(call.Target, "/") {
			call.Kind, call.Key = KindService, uuid.NewString()
		}
		calls = append(calls, call)
	}
}

func (s Stage) drawTarget(random *rand.Rand) string {
	var totalWeight float64
	for _, weightedTarget := range s.Targets {
		totalWeight += weightedTarget.Weight
	}
	remaining := random.Float64() * totalWeight
	for _, weightedTarget := range s.Targets {
		if remaining -= weightedTarget.Weight; remaining < 0 {
			return weightedTarget.Target
		}
	}
	return s.Targets[len(s.Targets)-1].Target
}

var vocabulary = []string{"red", "blue", "wool", "leather", "left", "right", "glove", "mitten", "scarf", "found", "bus", "school"}

func (s Stage) drawPrompt(random *rand.Rand) string {
	words := make([]string, s.PromptWords)
	for i := range words {
		words[i] = vocabulary[random.IntN(len(vocabulary))]
	}
	return strings.Join(words, " ")
}

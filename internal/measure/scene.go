package measure

import (
	"math"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Scene is a course of events on a fleet.
type Scene struct {
	Name   string
	Length time.Duration
	// Load multiplies all work; zero counts as one.
	Load float64
	// Flood multiplies the rate of the classes it names while it lasts.
	Flood Flood
	// DemandShift moves the demand of models tenfold.
	DemandShift bool
	// Crashes lists engines that die and come back empty.
	Crashes []Crash
	// StoreDown is when nothing can be moved.
	StoreDown Span
	// Cold starts with no model loaded.
	Cold bool
	// PoisonRequest sends the request that kills each engine that runs it.
	PoisonRequest bool
}

// Span is a stretch of time.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (s Span) contains(now time.Duration) bool { return now >= s.From && now < s.To }

// Flood is a rise of one kind of work.
type Flood struct {
	Span    Span
	Rank    fleet.Rank
	Profile fleet.Profile
	Factor  float64
}

// Crash is the end of an engine, counted from the start of the fleet's list.
type Crash struct {
	Engine int
	At     time.Duration
}

// rateFactor returns by how much the rate of a class is multiplied at a moment.
func (s *Scene) rateFactor(c *Class, now time.Duration) float64 {
	factor := 1 + 0.25*math.Sin(2*math.Pi*now.Seconds()/(20*60))
	if s.Load > 0 {
		factor *= s.Load
	}
	f := &s.Flood
	if f.Factor > 0 && f.Span.contains(now) && (f.Rank == c.Rank || f.Profile == c.Profile) {
		return factor * f.Factor
	}
	return factor
}

// demandShiftFactor is how much the demand of rising models grows.
const demandShiftFactor = 10

// modelFactor returns by how much the demand of a model is multiplied at a moment.
// Some unpopular models rise tenfold while the most popular ones fall to a tenth.
func (s *Scene) modelFactor(model int, now time.Duration) float64 {
	if !s.DemandShift {
		return 1
	}
	progress := min(max((now-demandShiftStart).Seconds()/demandShiftTime.Seconds(), 0), 1)
	factor := math.Pow(demandShiftFactor, progress)
	switch {
	case model < 3:
		return 1 / factor
	case model%4 == 3 && model > 6:
		return factor
	default:
		return 1
	}
}

// demandShiftLoad is the work during a shift against an ordinary day.
const demandShiftLoad = 1.5

// Course of a shift of demand.
const (
	demandShiftStart = 5 * time.Minute
	demandShiftTime  = 30 * time.Minute
)

// Scenes returns all scenes for a fleet, in the order of the report.
func Scenes(d *Deployment) []Scene {
	const short, long = 20 * time.Minute, 45 * time.Minute
	flood := Span{From: 5 * time.Minute, To: 15 * time.Minute}
	quarter := staggeredCrashes(d, 6*time.Minute, 4)
	bulkFlood := Flood{Span: flood, Rank: fleet.RankBulk, Factor: 10}
	return []Scene{
		{Name: "ordinary day", Length: short},
		{Name: "shift of demand", Length: long, DemandShift: true, Load: demandShiftLoad},
		{Name: "flood of bulk", Length: short, Flood: bulkFlood},
		{Name: "flood of urgent", Length: short, Flood: Flood{Span: flood, Rank: fleet.RankUrgent, Factor: 10}},
		{
			Name: "one service floods its rank", Length: short,
			Flood: Flood{Span: flood, Profile: d.Classes[0].Profile, Factor: 12},
		},
		{Name: "deaths in a flood of bulk", Length: short, Flood: bulkFlood, Crashes: quarter},
		{
			Name: "store down in a shift", Length: long, DemandShift: true, Load: demandShiftLoad,
			StoreDown: Span{From: 12 * time.Minute, To: 25 * time.Minute},
		},
		{Name: "cold start", Length: short, Cold: true},
		{Name: "killer request", Length: short, PoisonRequest: true},
		{
			Name: "shift, deaths and flood of bulk", Length: long, DemandShift: true,
			Crashes: staggeredCrashes(d, 20*time.Minute, 4),
			Flood:   Flood{Span: Span{From: 18 * time.Minute, To: 30 * time.Minute}, Rank: fleet.RankBulk, Factor: 10},
		},
	}
}

// staggeredCrashes ends every nth engine, ten seconds apart.
func staggeredCrashes(d *Deployment, from time.Duration, every int) []Crash {
	var out []Crash
	for i := 0; i < d.Accelerators(); i += every {
		out = append(out, Crash{Engine: i, At: from + time.Duration(len(out))*10*time.Second})
	}
	return out
}

func sortByArrival(all []*request) {
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.arrived - b.arrived) })
}

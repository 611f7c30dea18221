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
	// Shifting moves the demand of models tenfold.
	Shifting bool
	// Deaths lists engines that die and come back empty.
	Deaths []Death
	// StoreDown is when nothing can be moved.
	StoreDown Span
	// Cold starts with no model loaded.
	Cold bool
	// Killer sends the request that kills each engine that runs it.
	Killer bool
}

// Span is a stretch of time.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (s Span) holds(now time.Duration) bool { return now >= s.From && now < s.To }

// Flood is a rise of one kind of work.
type Flood struct {
	Span    Span
	Rank    fleet.Rank
	Profile fleet.Profile
	Factor  float64
}

// Death is the end of an engine, counted from the start of the fleet's list.
type Death struct {
	Engine int
	At     time.Duration
}

// load returns by how much the rate of a class is multiplied at a moment.
func (s *Scene) load(c *Class, now time.Duration) float64 {
	day := 1 + 0.25*math.Sin(2*math.Pi*now.Seconds()/(20*60))
	if s.Load > 0 {
		day *= s.Load
	}
	f := &s.Flood
	if f.Factor > 0 && f.Span.holds(now) && (f.Rank == c.Rank || f.Profile == c.Profile) {
		return day * f.Factor
	}
	return day
}

// shiftFactor is how much the demand of rising models grows.
const shiftFactor = 10

// shift returns by how much the demand of a model is multiplied at a moment.
// Some unpopular models rise tenfold while the most popular ones fall to a tenth.
func (s *Scene) shift(model int, now time.Duration) float64 {
	if !s.Shifting {
		return 1
	}
	progress := min(max((now-shiftStart).Seconds()/shiftTime.Seconds(), 0), 1)
	factor := math.Pow(shiftFactor, progress)
	switch {
	case model < 3:
		return 1 / factor
	case model%4 == 3 && model > 6:
		return factor
	default:
		return 1
	}
}

// shiftLoad is the work during a shift against an ordinary day.
const shiftLoad = 1.5

// Course of a shift of demand.
const (
	shiftStart = 5 * time.Minute
	shiftTime  = 30 * time.Minute
)

// Scenes returns all scenes for a fleet, in the order of the report.
func Scenes(d *Deployment) []Scene {
	const short, long = 20 * time.Minute, 45 * time.Minute
	flood := Span{From: 5 * time.Minute, To: 15 * time.Minute}
	half := deaths(d, 6*time.Minute, 4)
	bulkFlood := Flood{Span: flood, Rank: fleet.RankBulk, Factor: 10}
	return []Scene{
		{Name: "ordinary day", Length: short},
		{Name: "shift of demand", Length: long, Shifting: true, Load: shiftLoad},
		{Name: "flood of bulk", Length: short, Flood: bulkFlood},
		{Name: "flood of urgent", Length: short, Flood: Flood{Span: flood, Rank: fleet.RankUrgent, Factor: 10}},
		{
			Name: "one service floods its rank", Length: short,
			Flood: Flood{Span: flood, Profile: d.Classes[0].Profile, Factor: 12},
		},
		{Name: "deaths in a flood of bulk", Length: short, Flood: bulkFlood, Deaths: half},
		{
			Name: "store down in a shift", Length: long, Shifting: true, Load: shiftLoad,
			StoreDown: Span{From: 12 * time.Minute, To: 25 * time.Minute},
		},
		{Name: "cold start", Length: short, Cold: true},
		{Name: "killer request", Length: short, Killer: true},
		{
			Name: "shift, deaths and flood of bulk", Length: long, Shifting: true,
			Deaths: deaths(d, 20*time.Minute, 4),
			Flood:  Flood{Span: Span{From: 18 * time.Minute, To: 30 * time.Minute}, Rank: fleet.RankBulk, Factor: 10},
		},
	}
}

// deaths ends every nth engine, ten seconds apart.
func deaths(d *Deployment, from time.Duration, every int) []Death {
	var out []Death
	for i := 0; i < d.Accelerators(); i += every {
		out = append(out, Death{Engine: i, At: from + time.Duration(len(out))*10*time.Second})
	}
	return out
}

func sortByArrival(all []*request) {
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.arrived - b.arrived) })
}

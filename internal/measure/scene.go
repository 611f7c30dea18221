package measure

import (
	"math"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Scene is a scenario: the load on a fleet over time, and the faults in it.
type Scene struct {
	Name   string
	Length time.Duration
	// Load multiplies all request rates; zero counts as one.
	Load float64
	// Flood multiplies the request rates of a rank or a profile for some time.
	Flood Flood
	// DemandShift raises the demand for some models tenfold and lowers it for others.
	DemandShift bool
	// Crashes lists engines that crash and restart with no model loaded.
	Crashes []Crash
	// StoreDown is when the weight store is unavailable, so nothing can be loaded or unloaded.
	StoreDown Span
	// Cold starts the scene with no model loaded.
	Cold bool
	// PoisonRequest adds a repeated request that crashes each engine that runs it.
	PoisonRequest bool
}

// Span is a time interval; To is excluded.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (s Span) contains(now time.Duration) bool { return now >= s.From && now < s.To }

// Flood is a rise of the request rate of the classes with the given rank or profile.
type Flood struct {
	Span    Span
	Rank    fleet.Rank
	Profile fleet.Profile
	Factor  float64
}

// Crash is the crash of an engine, given by its index in the fleet.
type Crash struct {
	Engine int
	At     time.Duration
}

// rateFactor returns the multiplier of the request rate of a class at a given time.
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

// demandShiftFactor is the factor by which demand for the rising models grows.
const demandShiftFactor = 10

// modelFactor returns the multiplier of the demand for a model at a given time. In a
// demand shift some unpopular models rise tenfold while the most popular ones fall
// to a tenth.
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

// demandShiftLoad is the load during a demand shift, relative to an ordinary day.
const demandShiftLoad = 1.5

// Start and duration of a demand shift.
const (
	demandShiftStart = 5 * time.Minute
	demandShiftTime  = 30 * time.Minute
)

// Scenes returns all scenes for a fleet, in report order.
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

// staggeredCrashes crashes every nth engine, ten seconds apart.
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

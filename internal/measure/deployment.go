package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const gib = int64(1) << 30

// Class is a class of requests under one profile.
type Class struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	// Share is the fraction of all requests on an ordinary day.
	Share float64
	// Prompt, Prefix and Tokens are mean lengths in tokens: of the prompt, of the
	// part of it that the requests of one group share, and of the answer.
	Prompt int
	Prefix int
	Tokens int
	// Groups is the number of groups per model.
	Groups int
	// FirstTokenTarget is the target for the time to first token;
	// TokenGapTarget that for the mean time between tokens, zero for none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// CallerTimeout is how long the caller waits before it abandons the request.
	CallerTimeout time.Duration
}

// Worth returns the value of an answer that meets its targets, by rank.
func Worth(r fleet.Rank) float64 {
	switch r {
	case fleet.RankUrgent:
		return 8
	case fleet.RankStandard:
		return 3
	default:
		return 1
	}
}

// Deployment describes a fleet and its workload.
type Deployment struct {
	Name string
	// Centres lists the data centres and the number of accelerators in each.
	Centres []Centre
	// Models and Adapters are the numbers of models and adapters.
	Models   int
	Adapters int
	// LoadRate, in load starts per second, and MaxConcurrentLoads are the
	// limits of the weight store.
	LoadRate           float64
	MaxConcurrentLoads int
	// FullSpeedAdapterLoads is the number of concurrent adapter loads above which
	// they slow down.
	FullSpeedAdapterLoads int
	// CentreDelay, RegionDelay and CallerDelay are one-way latencies.
	CentreDelay time.Duration
	RegionDelay time.Duration
	CallerDelay time.Duration
	// LinkRate is the rate of the link between regions, in bytes per second each way.
	LinkRate float64
	// Entries is the number of instances that accept requests from callers.
	Entries int
	Classes []Class
}

// Centre is one data centre with accelerators.
type Centre struct {
	Place        fleet.Place
	Accelerators int
}

// Targets and caller timeouts by rank.
const (
	urgentFirstToken   = 470 * time.Millisecond
	urgentTokenGap     = 61 * time.Millisecond
	standardFirstToken = 2 * time.Second
	standardTokenGap   = 90 * time.Millisecond
	bulkFirstToken     = 5 * time.Minute
	urgentTimeout      = 10 * time.Second
	standardTimeout    = 30 * time.Second
)

func urgent(p fleet.Profile, share float64, prompt, prefix, tokens int) Class {
	return Class{
		Profile: p, Rank: fleet.RankUrgent, Share: share, Prompt: prompt, Prefix: prefix, Tokens: tokens,
		Groups: 30, FirstTokenTarget: urgentFirstToken, TokenGapTarget: urgentTokenGap, CallerTimeout: urgentTimeout,
	}
}

func standard(p fleet.Profile, share float64, prompt, prefix, tokens int) Class {
	return Class{
		Profile: p, Rank: fleet.RankStandard, Share: share, Prompt: prompt, Prefix: prefix, Tokens: tokens,
		Groups: 3, FirstTokenTarget: standardFirstToken, TokenGapTarget: standardTokenGap, CallerTimeout: standardTimeout,
	}
}

func bulk(p fleet.Profile, share float64, prompt, prefix, tokens int) Class {
	return Class{
		Profile: p, Rank: fleet.RankBulk, Share: share, Prompt: prompt, Prefix: prefix, Tokens: tokens,
		Groups: 2, FirstTokenTarget: bulkFirstToken, CallerTimeout: bulkFirstToken,
	}
}

// linkRate is 30 Mbit/s in bytes per second.
const linkRate = 30e6 / 8

// Guaiba is the deployment of the glove board: 18 runners of the matcher in three
// data centres. The 3 runners of board-app are plain services that hold no model,
// so they are left out.
func Guaiba() Deployment {
	return Deployment{
		Name: "Guaíba",
		Centres: []Centre{
			{Place: fleet.Place{Region: "litoral-sul", DataCentre: "litoral-sul-1"}, Accelerators: 6},
			{Place: fleet.Place{Region: "litoral-sul", DataCentre: "litoral-sul-2"}, Accelerators: 6},
			{Place: fleet.Place{Region: "serra-gaucha", DataCentre: "serra-gaucha-1"}, Accelerators: 6},
		},
		Models: 34, Adapters: 100, LoadRate: 2, MaxConcurrentLoads: 8, FullSpeedAdapterLoads: 60,
		CentreDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
		CallerDelay: 3 * time.Millisecond, LinkRate: linkRate, Entries: 9,
		Classes: []Class{
			urgent("chat-bus", 0.22, 320, 200, 90),
			urgent("chat-school", 0.13, 300, 200, 80),
			standard("counter", 0.25, 1700, 1400, 130),
			standard("skishop", 0.15, 1500, 1200, 110),
			bulk("night", 0.25, 900, 500, 220),
		},
	}
}

// Gopherline is the deployment of the marble run assistant: 12 runners of
// run-designer in three data centres. The 3 runners of shop-api are plain services
// that hold no model, so they are left out.
func Gopherline() Deployment {
	return Deployment{
		Name: "Gopherline",
		Centres: []Centre{
			{Place: fleet.Place{Region: "sask", DataCentre: "sask-1"}, Accelerators: 4},
			{Place: fleet.Place{Region: "sask", DataCentre: "sask-2"}, Accelerators: 4},
			{Place: fleet.Place{Region: "manitoba", DataCentre: "manitoba-1"}, Accelerators: 4},
		},
		Models: 21, Adapters: 80, LoadRate: 1.5, MaxConcurrentLoads: 7, FullSpeedAdapterLoads: 55,
		CentreDelay: time.Millisecond, RegionDelay: 20 * time.Millisecond,
		CallerDelay: time.Millisecond, LinkRate: linkRate, Entries: 8,
		Classes: []Class{
			urgent("kit-page", 0.2, 350, 200, 100),
			urgent("shop-chat", 0.1, 280, 150, 80),
			standard("layout", 0.25, 2000, 1600, 180),
			standard("check", 0.2, 1600, 1300, 100),
			bulk("notes", 0.25, 800, 400, 260),
		},
	}
}

// Accelerators returns the number of accelerators in the fleet.
func (d *Deployment) Accelerators() int {
	count := 0
	for _, c := range d.Centres {
		count += c.Accelerators
	}
	return count
}

// modelBytes returns the size of one copy of a model.
func modelBytes(model int) int64 {
	return (14 + int64(model*5%9)) * gib
}

// popularity returns the fraction of requests for a model on an ordinary day, by Zipf's law.
func (d *Deployment) popularity(model int) float64 {
	sum := 0.0
	for i := range d.Models {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	return math.Pow(float64(model+1), -zipfExponent) / sum
}

// zipfExponent is the exponent of the distribution of requests over models.
const zipfExponent = 0.9

func modelName(model int) fleet.Model {
	return fleet.Model(fmt.Sprintf("model-%02d", model))
}

// meanWork returns the accelerator time of an average request, in seconds.
func (d *Deployment) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range d.Classes {
		work += c.Share * batchedWork(c.Prompt-c.Prefix/2, c.Tokens)
		share += c.Share
	}
	return work / share
}

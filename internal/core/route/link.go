package route

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Estimated bytes per token on the link between regions.
const (
	promptTokenBytes = 5
	answerTokenBytes = 60
)

// rankCount is the number of ranks.
const rankCount = 3

// LinkBudget limits the bandwidth that each rank can use on the link between
// regions. A rank can use the budget of less urgent ranks as well as its own.
type LinkBudget struct {
	// Urgent, Standard and Bulk are in bytes per second.
	Urgent   float64
	Standard float64
	Bulk     float64
	// Burst is the capacity of each token bucket, as time at the full rate.
	Burst time.Duration
}

// link has one token bucket for each rank.
type link struct {
	limited   bool
	rates     [rankCount]float64
	levels    [rankCount]float64
	burst     time.Duration
	last      time.Time
	usedBytes float64
}

func newLink(b LinkBudget) link {
	l := link{limited: true, rates: [rankCount]float64{b.Urgent, b.Standard, b.Bulk}, burst: b.Burst}
	for i, rate := range l.rates {
		l.levels[i] = rate * b.Burst.Seconds()
	}
	return l
}

// LinkBytes returns the total bytes charged to the link so far, estimated from token counts.
func (r *Router) LinkBytes() float64 { return r.link.usedBytes }

func linkBytes(req *Request) float64 {
	return float64(req.PromptTokens*promptTokenBytes + req.AnswerTokens*answerTokenBytes)
}

// allows reports whether the rank has budget for the request.
func (l *link) allows(now time.Time, req *Request) bool {
	if !l.limited {
		return true
	}
	l.refill(now)
	return l.available(req.Rank.Level()) >= linkBytes(req)
}

func (l *link) available(level int) float64 {
	sum := 0.0
	for i := level; i < rankCount; i++ {
		sum += l.levels[i]
	}
	return sum
}

func (l *link) refill(now time.Time) {
	elapsed := now.Sub(l.last)
	l.last = now
	if elapsed <= 0 {
		return
	}
	elapsed = min(elapsed, l.burst)
	for i, rate := range l.rates {
		l.levels[i] = min(l.levels[i]+rate*elapsed.Seconds(), rate*l.burst.Seconds())
	}
}

// charge takes the request's bytes from its rank's bucket, then from less urgent ones.
func (l *link) charge(now time.Time, req *Request, to fleet.Place) {
	if req.Place.Region == to.Region {
		return
	}
	bytes := linkBytes(req)
	l.usedBytes += bytes
	if !l.limited {
		return
	}
	l.refill(now)
	for i := req.Rank.Level(); i < rankCount && bytes > 0; i++ {
		part := min(bytes, l.levels[i])
		l.levels[i] -= part
		bytes -= part
	}
}

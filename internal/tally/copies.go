package tally

import (
	"slices"
	"time"
)

const (
	// servedWithin is how long before and after a refusal an endpoint must have answered requests for
	// the model to count as having a copy.
	servedWithin = 1500 * time.Millisecond
	// idlePrompts is the largest number of prompts waiting at an endpoint that counts as idle.
	idlePrompts = 1
	// crowdedPrompts is the number of prompts waiting at the fullest endpoint from which the others'
	// idleness is counted.
	crowdedPrompts = 4
	// sampleInterval is the time between two samples of the prompts waiting.
	sampleInterval = 100 * time.Millisecond
)

// copyKey is a copy of a model.
type copyKey struct{ endpoint, model string }

// span is the time from a request's arrival to its first byte.
type span struct{ from, until time.Time }

// fleet holds what requests show of the endpoints.
type fleet struct {
	waiting map[string][]span        // by endpoint, sorted by from
	served  map[copyKey][]time.Time  // first bytes, sorted
	copies  map[string][]string      // endpoints that answered for a model
	longest map[string]time.Duration // longest span by endpoint
}

func newFleet(requests []Request) *fleet {
	f := &fleet{waiting: make(map[string][]span), served: make(map[copyKey][]time.Time), copies: make(map[string][]string), longest: make(map[string]time.Duration)}
	for i := range requests {
		r := &requests[i]
		if r.Model == "" || r.First <= 0 || r.Status/100 != 2 {
			continue
		}
		s := span{r.Arrived(), r.Arrived().Add(r.First)}
		f.waiting[r.Endpoint] = append(f.waiting[r.Endpoint], s)
		f.longest[r.Endpoint] = max(f.longest[r.Endpoint], r.First)
		key := copyKey{r.Endpoint, r.Model}
		if f.served[key] == nil {
			f.copies[r.Model] = append(f.copies[r.Model], r.Endpoint)
		}
		f.served[key] = append(f.served[key], s.until)
	}
	for _, times := range f.served {
		slices.SortFunc(times, time.Time.Compare)
	}
	return f
}

// prompts returns how many prompts waited at an endpoint at a time.
func (f *fleet) prompts(endpoint string, at time.Time) int {
	spans := f.waiting[endpoint]
	first, _ := slices.BinarySearchFunc(spans, at.Add(-f.longest[endpoint]), func(s span, t time.Time) int { return s.from.Compare(t) })
	n := 0
	for _, s := range spans[first:] {
		if s.from.After(at) {
			break
		}
		if s.until.After(at) {
			n++
		}
	}
	return n
}

// hasCopy reports whether an endpoint answered for a model both shortly before and after a time.
func (f *fleet) hasCopy(endpoint, model string, at time.Time) bool {
	times := f.served[copyKey{endpoint, model}]
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return i > 0 && i < len(times) && at.Sub(times[i-1]) <= servedWithin && times[i].Sub(at) <= servedWithin
}

// idleCopy reports whether a copy of a model was idle at a time.
func (f *fleet) idleCopy(model string, at time.Time) bool {
	return slices.ContainsFunc(f.copies[model], func(endpoint string) bool {
		return f.hasCopy(endpoint, model, at) && f.prompts(endpoint, at) <= idlePrompts
	})
}

// Spread is how evenly prompts waited over the endpoints in a second.
type Spread struct {
	// Crowded is how many samples had an endpoint with crowdedPrompts or more, Idle the share of
	// endpoints without a prompt in these samples, and Fullest the most prompts at one.
	Crowded int
	Idle    float64
	Fullest int
}

// spread samples the second that begins at a time.
func (f *fleet) spread(from time.Time) Spread {
	var s Spread
	for at := from; at.Before(from.Add(time.Second)); at = at.Add(sampleInterval) {
		idle, fullest := 0, 0
		for endpoint := range f.waiting {
			n := f.prompts(endpoint, at)
			fullest = max(fullest, n)
			if n == 0 {
				idle++
			}
		}
		s.Fullest = max(s.Fullest, fullest)
		if fullest >= crowdedPrompts {
			s.Crowded++
			s.Idle += float64(idle) / float64(len(f.waiting))
		}
	}
	if s.Crowded > 0 {
		s.Idle /= float64(s.Crowded)
	}
	return s
}

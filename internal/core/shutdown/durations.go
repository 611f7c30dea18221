// Package shutdown decides which requests an instance that is shutting down can still answer.
package shutdown

import (
	"math/bits"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

const (
	// retention is for how long a duration counts at least, and less than twice it at most.
	retention = 30 * time.Second
	// maxSizes is the number of classes of sizes: two for each power of two, up to a million.
	maxSizes = 42
	// promptDivisor is how many tokens of a prompt take about as long as one of the output.
	promptDivisor = 256
	// An answer is given a quarter more than the longest of its kind, and some time to be written.
	spareDivisor = 4
	writeTime    = 250 * time.Millisecond
	// maxDuration bounds what is recorded and expected, beyond any route's timeout.
	maxDuration = 24 * time.Hour
)

// Kind is a kind of requests that take about as long if they have about the same size: those of a route
// at a service, or all of a service if Route is empty.
type Kind struct {
	Service catalog.Service
	Route   string
}

// Size is the size of a request's prompt and the largest of its output, in tokens.
type Size struct{ Prompt, Output int }

// longest are the longest durations of the requests of a kind, by the class of their size; 0 for none.
type longest [maxSizes]time.Duration

// Durations are how long requests took lately, from when they were sent to the end of their answers.
type Durations struct {
	began           time.Time // of current
	current, former map[Kind]*longest
}

// Record records how long a request took, or has taken so far.
func (d *Durations) Record(now time.Time, k Kind, s Size, took time.Duration) {
	d.rotate(now)
	l := d.current[k]
	if l == nil {
		l = new(longest)
		d.current[k] = l
	}
	class := s.class()
	l[class] = max(l[class], min(took, maxDuration))
}

// Allowance returns how long a request of a kind may take: somewhat longer than the longest of its size
// or a smaller one. ok is false if nothing is known of the kind. A request larger than all known ones is
// expected to take longer in proportion.
func (d *Durations) Allowance(now time.Time, k Kind, s Size) (allowance time.Duration, ok bool) {
	d.rotate(now)
	known := d.known(k)
	class := s.class()
	expected, at := time.Duration(0), -1
	for i, took := range known[:class+1] {
		if took > 0 {
			expected, at = max(expected, took), i
		}
	}
	larger := time.Duration(0)
	for _, took := range known[class+1:] {
		if larger = took; larger > 0 {
			break
		}
	}
	switch {
	case at < 0 && larger == 0:
		return 0, false
	case at < 0:
		expected = larger
	case larger > 0 && at < class:
		expected = max(expected, larger)
	default:
		expected = min(expected, maxDuration>>((class-at+1)/2)) << ((class - at + 1) / 2)
	}
	return expected + expected/spareDivisor + writeTime, true
}

// known returns the longest durations of a kind.
func (d *Durations) known(k Kind) longest {
	var all longest
	for _, l := range []*longest{d.current[k], d.former[k]} {
		for i := range all {
			if l != nil {
				all[i] = max(all[i], l[i])
			}
		}
	}
	return all
}

// rotate drops durations that are too old.
func (d *Durations) rotate(now time.Time) {
	if d.current != nil && now.Sub(d.began) < retention {
		return
	}
	if d.former = d.current; now.Sub(d.began) >= 2*retention {
		d.former = nil
	}
	d.current, d.began = make(map[Kind]*longest), now
}

// class returns the class of a size.
func (s Size) class() int {
	work := uint(max(0, s.Output)) + uint(max(0, s.Prompt))/promptDivisor
	length := bits.Len(work)
	if length < 2 {
		return length
	}
	return min(2*length-2+int(work>>(length-2)&1), maxSizes-1)
}

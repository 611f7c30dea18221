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
	// maxSizes is the number of classes of output sizes: powers of two up to a million tokens.
	maxSizes = 21
	// An answer is given a quarter more than the longest of its kind, and some time to be written.
	spareDivisor = 4
	writeTime    = 250 * time.Millisecond
)

// Kind is a kind of requests that take about as long if their output has about the same size.
type Kind struct {
	Service catalog.Service
	Kind    catalog.Kind
}

// longest are the longest durations of the requests of a kind, by the class of their output size; 0
// for none.
type longest [maxSizes]time.Duration

// Durations are how long requests took lately, from when they were sent to the end of their answers.
type Durations struct {
	began           time.Time // of current
	current, former map[Kind]*longest
}

// Record records how long a request took, or has taken so far.
func (d *Durations) Record(now time.Time, k Kind, outputTokens int, took time.Duration) {
	d.rotate(now)
	l := d.current[k]
	if l == nil {
		l = new(longest)
		d.current[k] = l
	}
	class := size(outputTokens)
	l[class] = max(l[class], took)
}

// Allowance returns how long a request of a kind may take: somewhat longer than the longest of its size
// or a smaller one. ok is false if nothing is known of the kind. A request larger than all known ones is
// expected to take longer in proportion.
func (d *Durations) Allowance(now time.Time, k Kind, outputTokens int) (allowance time.Duration, ok bool) {
	d.rotate(now)
	class, known := size(outputTokens), longest{}
	for _, l := range []*longest{d.current[k], d.former[k]} {
		for i := range known {
			if l != nil {
				known[i] = max(known[i], l[i])
			}
		}
	}
	expected, at := time.Duration(0), -1
	for i, took := range known {
		if took == 0 {
			continue
		}
		if i > class {
			if at < 0 {
				expected, at = took, i // what is larger takes no less
			}
			break
		}
		expected, at = max(expected, took), i
	}
	if at < 0 {
		return 0, false
	}
	if at < class {
		expected <<= class - at
	}
	return expected + expected/spareDivisor + writeTime, true
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

// size returns the class of an output size.
func size(tokens int) int { return min(bits.Len(uint(max(0, tokens))), maxSizes-1) }

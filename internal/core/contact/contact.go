// Package contact records when the store answered the instances of a fleet. It tells an outage of the
// store from the failure of a single way to it. It has no input, output or clock.
package contact

import (
	"slices"
	"time"
)

const (
	// maxGap is the longest time between two answers in which the store can't have lost an entry: an
	// endpoint's entry outlives two of its heartbeats.
	maxGap = 950 * time.Millisecond
	// maxDelay is how much later than expected an answer may come that shows the store up all the while.
	maxDelay = time.Second
	// retention is how long answers are kept.
	retention = time.Minute
)

// Span is a time over which the store answered.
type Span struct{ Since, Until time.Time }

// joins reports whether no outage fits between two spans.
func (s Span) joins(o Span) bool {
	return s.Since.Sub(o.Until) <= maxGap && o.Since.Sub(s.Until) <= maxGap
}

// Log holds the spans over which the store answered this instance or a peer. The zero value is empty.
// It is not safe for concurrent use.
type Log struct {
	own    Span // the newest one of this instance
	failed bool // a call of this instance has failed since
	spans  []Span
}

// Answered records a call that was to take as long as wait, and returns for how long before it the store
// had not answered this instance, 0 if it never had.
func (l *Log) Answered(sent, answered time.Time, wait time.Duration) (silence time.Duration) {
	s := Span{Since: sent, Until: answered}
	if answered.Sub(sent) > wait+maxDelay {
		s.Since = answered
	}
	first := l.own.Until.IsZero()
	if !first {
		silence = max(0, s.Since.Sub(l.own.Until))
	}
	if first || l.failed || !l.own.joins(s) {
		l.own = s
	} else {
		l.own.Until = answered
	}
	l.failed = false
	l.add(s)
	return silence
}

// Failed records a call without an answer.
func (l *Log) Failed() { l.failed = true }

// Own returns the newest span over which the store answered each call of this instance. ok is false
// if it has answered none.
func (l *Log) Own() (s Span, ok bool) { return l.own, !l.own.Until.IsZero() }

// Observe records a span of a peer.
func (l *Log) Observe(s Span) {
	if !s.Until.Before(s.Since) {
		l.add(s)
	}
}

// Covers reports whether the store answered somebody all the while.
func (l *Log) Covers(s Span) bool {
	return slices.ContainsFunc(l.spans, func(o Span) bool { return !o.Since.After(s.Since) && !o.Until.Before(s.Until) })
}

// Clear drops all spans: the store has come back from an older copy.
func (l *Log) Clear() { l.own, l.spans = Span{}, nil }

func (l *Log) add(s Span) {
	l.spans = slices.DeleteFunc(l.spans, func(o Span) bool {
		if o.joins(s) {
			s = Span{Since: earlier(s.Since, o.Since), Until: later(s.Until, o.Until)}
			return true
		}
		return s.Since.Sub(o.Until) > retention
	})
	l.spans = append(l.spans, s)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

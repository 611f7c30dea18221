// Package arrival decides which request gives way while its body is arriving, once the memory for bodies is
// used up.
package arrival

import (
	"cmp"
	"time"
)

// FairTime is how long a body may arrive before its request gives way.
const FairTime = 500 * time.Millisecond

// Body is a body that is arriving.
type Body struct {
	age            time.Duration
	received, held int64
}

// New returns a body whose head arrived some time ago, of which some bytes were received, and that holds some
// bytes of memory.
func New(age time.Duration, received, held int64) Body { return Body{age, received, held} }

// Held returns the memory that the body holds.
func (b Body) Held() int64 { return b.held }

// YieldsTo reports whether the body gives way to another one that lacks memory: to any one in its fair time,
// and to a faster one.
func (b Body) YieldsTo(other Body) bool {
	if b.held == 0 || b.age < FairTime {
		return false
	}
	return other.age < FairTime || b.compareRate(other) < 0
}

// YieldsBefore reports whether the body gives way before another one: the slower of the two, or the one that
// holds more memory if they are as fast.
func (b Body) YieldsBefore(other Body) bool {
	return cmp.Or(b.compareRate(other), cmp.Compare(other.held, b.held)) < 0
}

// compareRate compares the bytes received in the time since the heads.
func (b Body) compareRate(other Body) int {
	return cmp.Compare(float64(b.received)*float64(other.age), float64(other.received)*float64(b.age))
}

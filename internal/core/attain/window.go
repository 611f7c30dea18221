package attain

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Span is the longest time that a window looks back; it looks back half of it at least.
const Span = 2 * half

// Window holds the sums of the last minutes in two halves, of which the older one is
// dropped as a whole. It is not safe for concurrent use.
type Window struct {
	began   time.Time // of the newer half
	current map[fleet.Profile]*Sum
	before  map[fleet.Profile]*Sum
}

// NewWindow returns an empty window.
func NewWindow(now time.Time) *Window {
	return &Window{began: now, current: make(map[fleet.Profile]*Sum)}
}

// Note counts a request that has ended.
func (w *Window) Note(now time.Time, e Ended) {
	w.turn(now)
	s, ok := w.current[e.Profile]
	if !ok {
		s = &Sum{Profile: e.Profile}
		w.current[e.Profile] = s
	}
	s.Rank = e.Rank // an edit may have changed it
	s.note(e)
}

// Sums returns what became of the requests of each profile lately, by name.
func (w *Window) Sums(now time.Time) []Sum {
	w.turn(now)
	return Add(list(w.current), list(w.before))
}

func list(half map[fleet.Profile]*Sum) []Sum {
	sums := make([]Sum, 0, len(half))
	for _, s := range half {
		sums = append(sums, *s)
	}
	return sums
}

// turn drops what is too old.
func (w *Window) turn(now time.Time) {
	age := now.Sub(w.began)
	switch {
	case age < half:
		return
	case age < Span:
		w.before, w.began = w.current, w.began.Add(half)
	default:
		w.before, w.began = nil, now
	}
	w.current = make(map[fleet.Profile]*Sum)
}

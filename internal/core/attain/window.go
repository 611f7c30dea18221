package attain

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Span is the longest time that a window covers; it covers at least half of it.
const Span = 2 * halfSpan

// Window counts the requests of the last minutes in two halves; the older half is dropped
// as a whole. It is not safe for concurrent use.
type Window struct {
	startedAt time.Time // start of the newer half
	current   map[fleet.Profile]*ProfileStats
	previous  map[fleet.Profile]*ProfileStats
}

// NewWindow returns an empty window.
func NewWindow(now time.Time) *Window {
	return &Window{startedAt: now, current: make(map[fleet.Profile]*ProfileStats)}
}

// Record counts a request that has ended.
func (w *Window) Record(now time.Time, e EndedRequest) {
	w.rotate(now)
	s, ok := w.current[e.Profile]
	if !ok {
		s = &ProfileStats{Profile: e.Profile}
		w.current[e.Profile] = s
	}
	s.Rank = e.Rank // operators may have changed it
	s.record(e)
}

// Stats returns the counts of each profile within the window, sorted by profile name.
func (w *Window) Stats(now time.Time) []ProfileStats {
	w.rotate(now)
	return Add(statsOf(w.current), statsOf(w.previous))
}

func statsOf(byProfile map[fleet.Profile]*ProfileStats) []ProfileStats {
	stats := make([]ProfileStats, 0, len(byProfile))
	for _, s := range byProfile {
		stats = append(stats, *s)
	}
	return stats
}

// rotate drops the halves that are out of the window.
func (w *Window) rotate(now time.Time) {
	age := now.Sub(w.startedAt)
	switch {
	case age < halfSpan:
		return
	case age < Span:
		w.previous, w.startedAt = w.current, w.startedAt.Add(halfSpan)
	default:
		w.previous, w.startedAt = nil, now
	}
	w.current = make(map[fleet.Profile]*ProfileStats)
}

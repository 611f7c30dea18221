package gateway

import (
	"sync"
	"time"
)

// maxLines is how many lines of a kind are logged in a second.
const maxLines = 20

// lineLimit limits the log lines of a kind of which callers can cause any number. It is safe for concurrent use.
type lineLimit struct {
	mu             sync.Mutex
	began          time.Time // the second that counts
	lines, omitted int
}

// next reports whether a line is logged, and how many were omitted since the last one.
func (l *lineLimit) next(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= time.Second {
		l.began, l.lines = now, 0
	}
	if l.lines++; l.lines > maxLines {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

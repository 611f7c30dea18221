package entry

import (
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// errGap: pieces of an answer are missing.
var errGap = errors.New("pieces of the answer are missing")

// Restarter is a sink that can take an answer from its beginning again, since
// nothing of it has reached the caller yet.
type Restarter interface {
	// Restart drops what was taken and reports whether that was possible.
	Restart() bool
}

// track passes the pieces of the present attempt on, each once and in order.
type track struct {
	sink      peer.Sink
	clock     func() time.Time
	attempt   string
	endpoint  fleet.Endpoint
	next      uint64 // offset of the next piece
	answering bool   // the head has come
	passed    bool   // the head has been passed on
	failed    error  // the sink's error

	count int
	first time.Time
	last  time.Time
}

// begin starts a new attempt.
func (t *track) begin(attempt string, endpoint fleet.Endpoint) {
	t.attempt, t.endpoint = attempt, endpoint
	t.next, t.answering = 0, false
}

// restart reports whether a new attempt may begin the answer anew.
func (t *track) restart() bool {
	if !t.passed {
		return true
	}
	r, ok := t.sink.(Restarter)
	if !ok || !r.Restart() {
		return false
	}
	t.passed = false
	return true
}

// Head implements peer.Sink. Only the first head of an answer reaches the caller.
func (t *track) Head(h *peerpb.Head) error {
	if t.attempt == "" {
		t.attempt, t.endpoint = h.Attempt, fleet.Endpoint(h.Endpoint)
	}
	if h.Attempt != t.attempt {
		return nil
	}
	t.answering = true
	if t.passed {
		return nil
	}
	t.passed = true
	t.failed = t.sink.Head(h)
	return t.failed
}

// Data implements peer.Sink. Pieces of another attempt, or that came before, are dropped.
func (t *track) Data(d *peerpb.Data) error {
	if d.Attempt != t.attempt || d.Offset < t.next {
		return nil
	}
	if d.Offset > t.next {
		return errGap
	}
	t.next++
	t.mark()
	t.failed = t.sink.Data(d)
	return t.failed
}

func (t *track) mark() {
	t.last = t.clock()
	if t.count == 0 {
		t.first = t.last
	}
	t.count++
}

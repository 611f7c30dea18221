package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// writeTimeout limits a write to a caller that doesn't read.
const writeTimeout = 5 * time.Second

// errSuperseded cancels an attempt when another one's answer begins to reach the caller.
var errSuperseded = errors.New("another endpoint has answered")

// delivery is the answer to a caller. Of the attempts in flight, the one that passes something
// on supersedes all others, so that an answer is never put together from two that run at once.
type delivery struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	codec      Codec
	clock      Clock
	arrived    time.Time
	leaving    func() (plan shutdown.Plan, leaving bool) // whether the instance is shutting down

	mu       sync.Mutex
	attempts []*attempt // in flight, those that were superseded too
	started  bool       // the header was written
	// software is the version that wrote the events passed on, nil as long as there are none.
	software *fleet.Software
	// events are those passed on, after the one after which the caller resumes, lastWriter is
	// the endpoint of the last one.
	events       sequence
	lastWriter   fleet.Endpoint
	consecutive  bool // streams of the service are numbered without gaps
	status       int
	firstByte    time.Duration
	longestPause time.Duration // longest time between two writes of a stream's events
	passedAt     time.Time     // when events were last passed on
	// written is the time that writes took, writeBegan when the present one began, 0 for none.
	written    time.Duration
	writeBegan time.Time
}

// register adds an attempt that is about to be sent, and returns the event after which its
// stream must begin. If beside is set, ok is false if that attempt has made progress since it
// was silent.
func (d *delivery) register(a *attempt, beside *silence) (after string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if beside != nil && beside.over() {
		return "", false
	}
	d.attempts = append(d.attempts, a)
	return d.events.last, true
}

// remove removes an attempt that has ended. It reports whether the attempt was superseded.
func (d *delivery) remove(a *attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = slices.DeleteFunc(d.attempts, func(other *attempt) bool { return other == a })
	return a.superseded
}

// take reports whether an attempt may pass on the next part of its answer. If so, the others
// are superseded.
func (d *delivery) take(a *attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.superseded {
		return false
	}
	d.supersedeOthers(a)
	return true
}

// takeEvents is take for complete events. It returns the length of those that may be passed on, and
// the error of the event after them. Without any the other attempts are not superseded.
func (d *delivery) takeEvents(a *attempt, events []byte) (int, *eventError, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.superseded {
		return 0, nil, false
	}
	if a.progress == 0 && a.after != "" && d.consecutive && !d.events.gaps {
		d.events.steps = true
	}
	by := d.lastWriter
	accepted, err := d.events.accept(events, d.codec.EventField)
	if accepted > 0 {
		by, d.lastWriter = a.target.ID, a.target.ID
		d.supersedeOthers(a)
	}
	if err != nil {
		err.by = string(by)
	}
	return accepted, err, true
}

func (d *delivery) supersedeOthers(a *attempt) {
	a.progress++
	a.passing = true
	for _, other := range d.attempts {
		if other != a {
			other.superseded = true
			other.cancel(errSuperseded)
		}
	}
}

// progressOf returns how often an attempt has passed on a part of its answer.
func (d *delivery) progressOf(a *attempt) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return a.progress
}

// isSilent reports whether an attempt has passed on nothing since its endpoint fell silent.
func (d *delivery) isSilent(s *silence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !s.over()
}

// hasRival reports whether another attempt is in flight that may still answer.
func (d *delivery) hasRival(a *attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.attempts, func(other *attempt) bool { return other != a && !other.superseded })
}

// last returns the id of the last event that the caller has.
func (d *delivery) last() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.events.last
}

// begun reports whether the header was written.
func (d *delivery) begun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// writeHeader writes the header of an answer whose body has a length, or is sent in chunks if
// length is negative. It does nothing if a header was written before: a stream keeps its first one.
func (d *delivery) writeHeader(answer *Answer, length int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return
	}
	d.firstByte = d.clock().Sub(d.arrived)
	d.codec.Pass(d.writer.Header(), answer.Header)
	d.writer.Header().Del("Content-Length")
	if length >= 0 {
		d.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	closeIfLeaving(d.writer, d.leaving)
	d.status, d.started = answer.Status, true
	d.writer.WriteHeader(answer.Status)
}

// closeIfLeaving has the connection closed after the answer if the instance is shutting down, so that the
// caller uses it for no further request.
func closeIfLeaving(w http.ResponseWriter, leaving func() (plan shutdown.Plan, leaving bool)) {
	if _, leaves := leaving(); leaves {
		w.Header().Set("Connection", "close")
	}
}

// passHeld passes on what is held of an answer: all of it if it is complete, else its beginning,
// with the length that its endpoint gave.
func (d *delivery) passHeld(answer *Answer, held *heldAnswer, complete bool) error {
	length := held.size
	if !complete {
		length = declaredLength(answer.Header)
	}
	d.writeHeader(answer, length)
	return held.writeTo(d)
}

// Write writes a part of the body, for which a caller that reads slowly has the time of one
// timeout. The header must have been written.
func (d *delivery) Write(b []byte) (int, error) {
	if err := d.extendDeadline(); err != nil {
		return 0, err
	}
	var n int
	err := d.write(func() (err error) {
		n, err = d.writer.Write(b)
		return err
	})
	return n, err
}

// write measures how long a write takes, which is how long the caller takes to read what is ahead of it.
func (d *delivery) write(fn func() error) error {
	d.setWriteBegan(d.clock())
	err := fn()
	d.setWriteBegan(time.Time{})
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (d *delivery) setWriteBegan(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.writeBegan.IsZero() {
		d.written += d.clock().Sub(d.writeBegan)
	}
	d.writeBegan = at
}

// writeTime returns the time that writes have taken so far.
func (d *delivery) writeTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writeBegan.IsZero() {
		return d.written
	}
	return d.written + d.clock().Sub(d.writeBegan)
}

// extendDeadline gives the next write, also that of the end of the answer, one timeout from now.
func (d *delivery) extendDeadline() error {
	err := d.controller.SetWriteDeadline(d.clock().Add(writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// declaredLength returns the length that an answer's header gives, -1 if it gives none.
func declaredLength(h http.Header) int64 {
	length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// bind records the version that writes the stream.
func (d *delivery) bind(software fleet.Software) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.software == nil {
		d.software = &software
	}
}

// boundTo returns the version that wrote the events passed on, nil as long as there are none.
func (d *delivery) boundTo() *fleet.Software {
	if switches.Off(switches.StreamVersion) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.software
}

// passEvents passes on complete events of a stream.
func (d *delivery) passEvents(a *attempt, answer *Answer, events []byte) error {
	d.bind(a.target.Software)
	d.writeHeader(answer, -1)
	now := d.clock()
	if !d.passedAt.IsZero() {
		d.longestPause = max(d.longestPause, now.Sub(d.passedAt))
	}
	d.passedAt = now
	if _, err := d.Write(events); err != nil {
		return err
	}
	if err := d.write(d.controller.Flush); err != nil {
		return err
	}
	d.passed(a)
	return nil
}

// passed records that an attempt has passed on what it took the answer for. Until then no other one is
// sent beside it, since two must not write at once.
func (d *delivery) passed(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.progress++
	a.passing = false
}

// mayContinue reports whether another endpoint can go on: nothing was passed on, or events that end
// with one that has an id.
func (d *delivery) mayContinue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.started || !d.events.unnumbered
}

// numbering reports whether the stream's events so far, if they show it, are numbered without gaps.
func (d *delivery) numbering() (gapless, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.events.gapless(), d.events.steps || d.events.gaps
}

// refuse answers with a refusal of the gateway itself.
func (d *delivery) refuse(r Refusal) {
	closeIfLeaving(d.writer, d.leaving)
	d.status = r.Status
	d.codec.Refuse(d.writer, r)
}

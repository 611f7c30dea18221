package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// defaultBodyBytes limits the memory of the bodies of all requests.
const defaultBodyBytes = 32 << 20

// firstBodyBytes is what is taken for a body before any of it has arrived.
const firstBodyBytes = 16 << 10

// defaultBodyTime limits how long a body may take to arrive.
const defaultBodyTime = 30 * time.Second

// defaultDiscardTime limits for how long the rest of a refused body is read.
const defaultDiscardTime = 5 * time.Second

var (
	// errNoBodyMemory is returned if the memory for bodies is used up.
	errNoBodyMemory = errors.New("no memory left to hold the body")
	// errGaveWay is returned for a body that arrived too slowly for the memory that it held.
	errGaveWay = errors.New("gave way to another request, as its body arrived slowly and memory is used up")
	// errLateBody is returned for a body that hasn't arrived in time.
	errLateBody = errors.New("the body has not arrived in time")
)

// BodyFault is why a request was refused for its body.
type BodyFault string

// The faults of bodies.
const (
	BodyTooLarge BodyFault = "large"
	BodyLate     BodyFault = "late"
	BodyGaveWay  BodyFault = "yielded"
	BodyNoMemory BodyFault = "memory"
)

// bodyFault returns the fault of a body that was not read, empty for another error.
func bodyFault(err error) BodyFault {
	switch {
	case errors.Is(err, ErrTooLarge):
		return BodyTooLarge
	case errors.Is(err, errLateBody):
		return BodyLate
	case errors.Is(err, errGaveWay):
		return BodyGaveWay
	case errors.Is(err, errNoBodyMemory):
		return BodyNoMemory
	}
	return ""
}

// WithBodyMemory limits the memory of the bodies of all requests that are served at once.
func WithBodyMemory(bytes int64) Option { return func(g *Gateway) { g.bodies.limit = bytes } }

// WithBodyTime limits how long a body may take to arrive after its head, unless its caller waits for less.
func WithBodyTime(d time.Duration) Option { return func(g *Gateway) { g.bodyTime = d } }

// WithDiscardTime limits for how long the rest of a refused body is read, so that its caller sees the answer.
func WithDiscardTime(d time.Duration) Option { return func(g *Gateway) { g.discardTime = d } }

// readBody reads a body of a length, negative if it isn't known, up to a limit. It takes memory as the bytes
// arrive, so that callers which state a long body and send nothing keep out nobody. It reads nothing of
// a body that there is no memory for at present.
func readBody(body io.Reader, length, limit int64, memory *reservation) ([]byte, error) {
	if length >= 0 {
		return readLength(body, int(length), memory)
	}
	held := newHeldAnswer(memory.memory)
	held.request = memory.request
	defer held.release()
	complete, err := held.fill(body, limit)
	if err != nil {
		return nil, err
	}
	if !complete || !memory.resize(int(held.size)) { // both are in use while it is copied
		return nil, errNoBodyMemory
	}
	return slices.Concat(held.segments...), nil
}

// readLength reads a body of a known length into memory that doubles with what has arrived.
func readLength(body io.Reader, length int, memory *reservation) ([]byte, error) {
	if !memory.fits(length) {
		return nil, errNoBodyMemory
	}
	var text []byte
	for size := min(length, firstBodyBytes); ; size = min(length, 2*size) {
		if !memory.resize(size) {
			return nil, errNoBodyMemory
		}
		text = append(make([]byte, 0, size), text...)
		n, err := io.ReadFull(body, text[len(text):size])
		if text = text[:len(text)+n]; err != nil || len(text) == length {
			return text, err
		}
	}
}

// refuseBody refuses a request before its body has arrived.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *http.Request, refusal Refusal, fault BodyFault, err error) {
	g.stats.BodyRefused(fault)
	if omitted, ok := g.bodyLines.next(g.clock()); ok {
		_ = g.logger.Log("step", "refuse", "id", refusal.Request, "status", refusal.Status, "omitted", omitted, "err", err)
	}
	w.Header().Set("Connection", "close")
	g.refuse(w, refusal)
	interrupted := fault == BodyLate || fault == BodyGaveWay
	g.discardBody(w, r, interrupted)
}

// discardBody sends a refusal, and then reads the body without holding it: many callers read nothing
// before they have sent everything, and would see a connection that is reset. The connection is closed
// afterwards, since net/http may read beyond a body that it closes in full duplex.
func (g *Gateway) discardBody(w http.ResponseWriter, r *http.Request, interrupted bool) {
	if r.Header.Get("Expect") != "" {
		return // the caller sends no body after the refusal
	}
	c := http.NewResponseController(w)
	if c.EnableFullDuplex() != nil || c.Flush() != nil {
		return
	}
	if !interrupted || r.ContentLength >= 0 {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, defaultMaxBodyBytes)) // the caller has its answer
		return
	}
	// net/http reads no more of a body in chunks after an interrupted read.
	conn, _, err := c.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(g.clock().Add(g.discardTime)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, defaultMaxBodyBytes))
	}
}

// limitBody limits how long a body may take to arrive, and returns until when. The limit ends with the body:
// net/http then lifts it.
func (g *Gateway) limitBody(w http.ResponseWriter, arrived time.Time, wait time.Duration) time.Time {
	limit := g.bodyTime
	if wait > 0 {
		limit = min(limit, wait)
	}
	deadline := arrived.Add(limit)
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // it can't fail for a server's connection
	return deadline
}

// limitDiscard limits for how long the rest of a refused body is read, by the gateway or by net/http.
func (g *Gateway) limitDiscard(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(g.clock().Add(g.discardTime))
}

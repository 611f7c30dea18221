package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
)

// defaultBodyBytes limits the memory of the bodies of all requests.
const defaultBodyBytes = 32 << 20

// errNoBodyMemory is returned if the memory for bodies is used up.
var errNoBodyMemory = errors.New("no memory left to hold the body")

// WithBodyMemory limits the memory of the bodies of all requests that are served at once.
func WithBodyMemory(bytes int64) Option { return func(g *Gateway) { g.bodies.limit = bytes } }

// readBody reads a body of a length, negative if it isn't known, up to a limit. It takes the memory
// for the bytes before it reads them.
func readBody(body io.Reader, length, limit int64, memory *reservation) ([]byte, error) {
	if length >= 0 {
		if !memory.resize(int(length)) {
			return nil, errNoBodyMemory
		}
		text := make([]byte, length)
		_, err := io.ReadFull(body, text)
		return text, err
	}
	held := newHeldAnswer(memory.memory)
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

// discardBody sends a refusal, and then reads the body without holding it: many callers read nothing
// before they have sent everything, and would see a connection that is reset.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect") != "" {
		return // the caller sends no body after the refusal
	}
	c := http.NewResponseController(w)
	if c.EnableFullDuplex() != nil || c.Flush() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, defaultMaxBodyBytes)) // the caller has its answer
}

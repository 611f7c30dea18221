package shutdown

import "time"

// Plan is the course of a shutdown.
type Plan struct {
	// Estimated is until when requests are passed on by how long others took, at most until callers' addresses
	// have expired.
	Estimated time.Time
	// Closes is when callers' connections are closed.
	Closes time.Time
}

// Estimates reports whether a request that was read at a time may be passed on by how long others took. One
// that was read later comes over a connection that its caller has kept, or its body has arrived slowly. Its
// next try reaches another instance, so it is passed on only if its time limit ends before its connection does.
func (p Plan) Estimates(read time.Time) bool { return read.Before(p.Estimated) }

package engine

import "maps"

// Faults are the failures to inject. They can be changed at run time.
type Faults struct {
	// CutAfter is the number of bytes after which the next Cuts streams are cut.
	CutAfter int `json:"cut_after"`
	// Cuts is the number of streams still to be cut; -1 for all.
	Cuts int `json:"cuts"`
	// CutClean ends the response of a cut stream normally instead of aborting
	// the connection.
	CutClean bool `json:"cut_clean"`
	// SlowMillis is added to the inter-token latency, in milliseconds.
	SlowMillis int `json:"slow"`
	// OrderDelayMillis delays orders before they take effect, in milliseconds.
	OrderDelayMillis int `json:"order_delay"`
	// OrderReplyLost aborts the connection after an order took effect.
	OrderReplyLost bool `json:"order_reply_lost"`
	// IgnoreFences accepts orders with any fencing token.
	IgnoreFences bool `json:"ignore_fences"`
	// Overcommit accepts loads that exceed the free memory.
	Overcommit bool `json:"overcommit"`
	// CrashOn crashes the engine when it starts a prompt that contains the word.
	CrashOn string `json:"crash_on"`
	// CrashBeforeDone crashes the engine after the last event of an answer, before
	// the marker that ends the stream.
	CrashBeforeDone bool `json:"crash_unmarked"`
	// EventGap drops the cache events whose number it divides; zero drops none.
	EventGap uint64 `json:"event_gap"`
	// Leaving makes the engine refuse new requests.
	Leaving bool `json:"leaving"`
}

// Counts are the counters that tests check.
type Counts struct {
	// Requests counts executions by attempt id, Keys by idempotency key.
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
	// Cancelled is the number of attempts cancelled.
	Cancelled int `json:"cancelled"`
	// Orders counts the orders received, Loads those that loaded weights, and
	// Stale those refused because of a stale fencing token.
	Orders int `json:"orders"`
	Loads  int `json:"loads"`
	Stale  int `json:"stale"`
	// Overcommits counts the load orders that asked for more than the free memory.
	Overcommits int `json:"overcommits"`
	// PeakBytes is the highest memory usage so far.
	PeakBytes int64 `json:"peak"`
}

// SetFaults changes the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Requests = maps.Clone(s.counts.Requests)
	counts.Keys = maps.Clone(s.counts.Keys)
	return counts
}

// nextCut returns the number of bytes after which to cut a new stream, or -1 for
// no cut, and whether to close it cleanly.
func (s *Server) nextCut() (after int, clean bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Cuts == 0 {
		return -1, false
	}
	if s.faults.Cuts > 0 {
		s.faults.Cuts--
	}
	return s.faults.CutAfter, s.faults.CutClean
}

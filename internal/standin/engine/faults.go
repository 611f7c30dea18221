package engine

import "maps"

// Faults are what goes wrong in an engine. They can be changed at run time.
type Faults struct {
	// CutAfter ends a stream after so many bytes, for the next Cuts streams.
	CutAfter int `json:"cut_after"`
	// Cuts is the number of streams still to cut; -1 for all.
	Cuts int `json:"cuts"`
	// CutClean ends cut streams without a sign of an error.
	CutClean bool `json:"cut_clean"`
	// SlowMillis is added to the time between tokens, milliseconds.
	SlowMillis int `json:"slow"`
	// OrderDelayMillis holds orders back before they take effect, milliseconds.
	OrderDelayMillis int `json:"order_delay"`
	// OrderReplyLost breaks the connection after an order took effect.
	OrderReplyLost bool `json:"order_reply_lost"`
	// IgnoreFences takes orders with any fencing number.
	IgnoreFences bool `json:"ignore_fences"`
	// Overcommit takes loads for which there is no memory.
	Overcommit bool `json:"overcommit"`
	// CrashOn crashes the engine on a prompt that contains the word.
	CrashOn string `json:"crash_on"`
	// CrashBeforeDone crashes the engine after an answer's last event, before its end marker.
	CrashBeforeDone bool `json:"crash_unmarked"`
	// EventGap leaves out each cache event whose number it divides.
	EventGap uint64 `json:"event_gap"`
	// Leaving makes the engine refuse new work.
	Leaving bool `json:"leaving"`
}

// Counts is what a test checks an engine by.
type Counts struct {
	// Requests counts executions by attempt id, Keys by idempotency key.
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
	// Cancelled is the number of attempts cancelled.
	Cancelled int `json:"cancelled"`
	// Orders, Loads and Stale count orders that arrived, those that loaded
	// weights, and those refused for their fencing number.
	Orders int `json:"orders"`
	Loads  int `json:"loads"`
	Stale  int `json:"stale"`
	// Overcommits counts loads that asked for more memory than there was.
	Overcommits int `json:"overcommits"`
	// PeakBytes is the most memory used so far, in bytes.
	PeakBytes int64 `json:"peak"`
}

// SetFaults changes the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Requests = maps.Clone(s.counts.Requests)
	counts.Keys = maps.Clone(s.counts.Keys)
	return counts
}

// nextCut returns after how many bytes a new stream is to be cut, -1 for never.
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

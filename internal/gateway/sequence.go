package gateway

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// EventFault is why a part of an endpoint's stream is not passed on.
type EventFault string

// The faults of streams.
const (
	FaultNotAnEvent  EventFault = "not-an-event" // a line has no known field
	FaultRepeated    EventFault = "repeated"     // an event before had the id
	FaultLower       EventFault = "lower"        // the id is lower than the one before
	FaultSkipped     EventFault = "skipped"      // an event is missing
	FaultNoID        EventFault = "no-id"        // in a stream whose events have ids
	FaultNotANumber  EventFault = "not-a-number" // in a stream whose ids are numbers
	FaultNoEvents    EventFault = "no-events"    // the stream has ended without any
	FaultContentType EventFault = "content-type" // the answer is no series of events
)

// eventError is returned for the part of a stream that has a fault.
type eventError struct {
	fault EventFault
	// id is that of the event, after the one of the event before it, written by the endpoint by.
	id, after, by string
}

func (e *eventError) Error() string {
	return fmt.Sprintf("event %q after %q: %s", e.id, e.after, e.fault)
}

// idForm is the form of the ids of a stream's events.
type idForm string

const (
	formUnknown idForm = ""
	formNumber  idForm = "number"
	formOther   idForm = "other"
)

// maxLoggedID is the length up to which the id of a faulty event is logged.
const maxLoggedID = 64

// maxIDBytes limits the id of an event, which is kept and sent in a header field to go on after the event.
const maxIDBytes = 4 << 10

// maxOtherIDs limits the ids that are remembered of a stream whose ids are no numbers.
const maxOtherIDs = 4096

// sequence decides which events continue a stream, whichever endpoints write them.
type sequence struct {
	form   idForm
	last   string // id of the last event, empty without one
	number uint64 // the value of last
	// steps is set if an event has followed on the one before without a gap, gaps if one has left a gap.
	steps, gaps bool
	others      map[uint64]struct{} // hashes of ids that are no numbers
	unnumbered  bool                // the last event has no id
}

// newSequence returns the sequence of the events after one, which is empty for the first.
func newSequence(after string) sequence {
	var s sequence
	if after != "" {
		_ = s.next(after) // any id can be the first one
	}
	return s
}

// next adds an event with an id, empty for none, unless it doesn't continue the stream.
func (s *sequence) next(id string) EventFault {
	if id == "" {
		if s.form != formUnknown {
			return FaultNoID
		}
		s.unnumbered = true
		return ""
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if s.form == formUnknown {
		s.form = formNumber
		if err != nil {
			s.form, s.others = formOther, make(map[uint64]struct{})
		}
	} else if fault := s.compare(id, number, err == nil); fault != "" {
		return fault
	}
	if s.form == formOther && len(s.others) < maxOtherIDs {
		s.others[xxhash.Sum64String(id)] = struct{}{}
	}
	s.last, s.number, s.unnumbered = id, number, false
	return ""
}

// compare compares an id with those before it.
func (s *sequence) compare(id string, number uint64, isNumber bool) EventFault {
	if s.form == formOther {
		if _, seen := s.others[xxhash.Sum64String(id)]; seen || id == s.last {
			return FaultRepeated
		}
		return ""
	}
	switch {
	case !isNumber:
		return FaultNotANumber
	case number == s.number:
		return FaultRepeated
	case number < s.number:
		return FaultLower
	case number-s.number > 1 && s.gapless():
		return FaultSkipped
	case number-s.number > 1:
		s.gaps = true
	default:
		s.steps = true
	}
	return ""
}

// gapless reports whether the events so far have been numbered without gaps.
func (s *sequence) gapless() bool { return s.steps && !s.gaps }

// accept adds complete events and comments. It returns the length of those that may be passed on, and
// the fault of the event after them.
func (s *sequence) accept(text []byte, extraField func(name string) bool) (int, *eventError) {
	accepted := 0
	for read := 0; read < len(text); {
		length := len(text) - read
		if end := bytes.Index(text[read:], eventEnd); end >= 0 {
			length = end + len(eventEnd)
		}
		e, ok := parseEvent(text[read:read+length], extraField)
		read += length
		fault := FaultNotAnEvent
		if ok {
			if e.comment {
				continue
			}
			fault = s.next(e.id)
		}
		if fault != "" {
			return accepted, &eventError{fault: fault, id: e.id[:min(len(e.id), maxLoggedID)], after: s.last}
		}
		accepted = read
	}
	return len(text), nil
}

// event is a complete event, or comments and other lines that make no event.
type event struct {
	id      string
	comment bool
}

// parseEvent parses the lines up to an empty one. ok is false if they are no part of a series of events.
// The first line may have a field that server-sent events don't define, if extraField has it.
func parseEvent(block []byte, extraField func(name string) bool) (e event, ok bool) {
	e.comment = true
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			if e.id != "" || len(value) > maxIDBytes {
				return e, false
			}
			e.id = string(bytes.TrimSpace(value))
		case "data", "event":
		case "retry":
			continue
		default:
			if !e.comment || !extraField(string(name)) {
				return e, false
			}
		}
		e.comment = false
	}
	return e, true
}

package gateway

import "bytes"

// eventBuffer holds the part of a stream that has arrived and was not passed on yet. Comments are held
// until an event follows, since only events show that the endpoint goes on.
type eventBuffer struct {
	data []byte
	// comments is the length of the complete comments at the beginning of data.
	comments int
}

var eventEnd = []byte("\n\n")

// add adds what has arrived and returns the length of what may be passed on: up to the end of the
// last complete event or comment, 0 without a complete event.
func (b *eventBuffer) add(part []byte) int {
	searched := max(b.comments, len(b.data)-len(eventEnd)+1)
	b.data = append(b.data, part...)
	end := bytes.LastIndex(b.data[searched:], eventEnd)
	if end < 0 {
		return 0
	}
	end += searched + len(eventEnd)
	if !hasEvent(b.data[b.comments:end]) {
		b.comments = end
		return 0
	}
	return end
}

// remove removes what was passed on.
func (b *eventBuffer) remove(length int) {
	b.data, b.comments = append(b.data[:0], b.data[length:]...), max(0, b.comments-length)
}

// betweenEvents reports whether no event has begun that is not complete.
func (b *eventBuffer) betweenEvents() bool { return b.comments == len(b.data) }

var retryField = []byte("retry:")

// hasEvent reports whether a text has a line that is neither empty nor a comment nor a retry field, which
// makes no event.
func hasEvent(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, retryField) {
			return true
		}
	}
	return false
}

package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/chiveramp/chiveramp/internal/sse"
)

// Event is one event of an answer.
type Event struct {
	// Sequence is the event's number, starting at 1. It is counted for engines that
	// send no event ids.
	Sequence uint64
	// Name is the event type, empty for an ordinary part of the answer.
	Name string
	// Data is the payload. The receiver owns it; it is not overwritten by later reads.
	Data []byte
}

// Stream reads one answer. It is not safe for concurrent use.
type Stream struct {
	exchange     exchange
	response     *http.Response
	events       *sse.Reader
	bodyLimit    int64
	plain        bool   // the body is not an event stream
	lastSequence uint64 // number of the last event returned
	endErr       error  // result of Next after the end
	closed       bool
}

func (c *Client) newStream(x exchange, response *http.Response, after uint64) *Stream {
	contentType := response.Header.Get("Content-Type")
	return &Stream{
		exchange:     x,
		response:     response,
		events:       sse.NewReader(response.Body, c.settings.eventLimit),
		bodyLimit:    c.settings.bodyLimit,
		plain:        !strings.HasPrefix(contentType, "text/event-stream"),
		lastSequence: after,
	}
}

// Status returns the HTTP status code.
func (s *Stream) Status() int { return s.response.StatusCode }

// Header returns the response headers.
func (s *Stream) Header() http.Header { return s.response.Header }

// Streaming reports whether the answer is an event stream. If not, Next returns the
// complete body as one event.
func (s *Stream) Streaming() bool { return !s.plain }

// Next returns the next event. It returns io.EOF only after the end marker, and an error
// wrapping ErrInterrupted when the stream ends without it. A body that is not an event
// stream ends with its last byte.
func (s *Stream) Next() (Event, error) {
	if s.endErr != nil {
		return Event{}, s.endErr
	}
	event, err := s.read()
	if err != nil {
		s.endErr = s.finish(err)
		s.events.Release()
		return Event{}, s.endErr
	}
	return event, nil
}

// Close closes the response body. A stream that is not complete is abandoned, and Next
// then returns an error wrapping ErrInterrupted.
func (s *Stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.endErr == nil {
		s.endErr = s.finish(errors.New("stream closed by its reader"))
	}
	return s.response.Body.Close()
}

func (s *Stream) finish(err error) error {
	if errors.Is(err, io.EOF) {
		s.exchange.span.End()
		return io.EOF
	}
	if !errors.Is(err, ErrTooLarge) {
		err = errors.Join(ErrInterrupted, err)
	}
	return s.exchange.fail(fmt.Errorf("after event %d: %w", s.lastSequence, err))
}

func (s *Stream) read() (Event, error) {
	if s.plain {
		return s.readBody()
	}
	event, err := s.readEvent()
	if err != nil {
		return Event{}, err
	}
	if string(event.Data) == Done {
		s.events.Drain()
		return Event{}, io.EOF
	}
	s.lastSequence = event.Sequence
	return event, nil
}

func (s *Stream) readBody() (Event, error) {
	if s.lastSequence > 0 {
		return Event{}, io.EOF
	}
	data, err := io.ReadAll(io.LimitReader(s.response.Body, s.bodyLimit+1))
	if err != nil {
		return Event{}, withoutEOF(err)
	}
	if int64(len(data)) > s.bodyLimit {
		return Event{}, ErrTooLarge
	}
	s.lastSequence = 1
	return Event{Sequence: 1, Data: data}, nil
}

func (s *Stream) readEvent() (Event, error) {
	event, err := s.events.Next()
	if errors.Is(err, sse.ErrTooLarge) {
		return Event{}, ErrTooLarge
	}
	if err != nil {
		return Event{}, err
	}
	return Event{Sequence: s.eventSequence(event.ID), Name: string(event.Name), Data: event.Data}, nil
}

// eventSequence returns the number in the event's id, or without one the last number plus 1.
func (s *Stream) eventSequence(id []byte) uint64 {
	number, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return s.lastSequence + 1
	}
	return number
}

// withoutEOF replaces io.EOF, which Stream reserves for the regular end of an answer.
func withoutEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/chiveramp/chiveramp/internal/sse"
)

const (
	doneMarker = "[DONE]"
	errorEvent = "error"
)

// Event is one event of a streamed answer.
type Event struct {
	// ID is the position of the event in the answer, as assigned by the system.
	ID   string
	Data []byte
}

// Stream is a streamed answer. When the connection is lost, it resumes at another
// instance. It must not be used by several goroutines at once.
type Stream struct {
	ctx      context.Context //nolint:containedctx // the stream lives as long as the call
	call     *call
	response *Response
	events   *sse.Reader
	position position
	resumes  int // in a row, without a new event
	err      error
}

// Stream sends a request whose answer is a stream of events, such as a chat completion
// with "stream" set.
func (c *Client) Stream(ctx context.Context, request Request) (*Stream, error) {
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	s := &Stream{ctx: ctx, call: c.newCall(request)}
	c.budget.deposit()
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// open sends the request until there is an answer, or no further retry is allowed.
func (s *Stream) open() error {
	for {
		err := s.openOnce()
		if err == nil {
			return nil
		}
		if !s.call.waitForRetry(s.ctx, err) {
			return err
		}
	}
}

func (s *Stream) openOnce() error {
	response, err := s.call.send(s.ctx)
	if err != nil {
		return err
	}
	if response.Status >= http.StatusBadRequest {
		return s.call.readError(response.raw)
	}
	s.response = response
	s.events = sse.NewReader(response.Body, maxEventBytes)
	return nil
}

// Response returns the response that the stream currently reads from.
func (s *Stream) Response() *Response { return s.response }

// Next returns the next event. It returns io.EOF only when the answer is complete,
// and an *Error when it cannot be completed.
func (s *Stream) Next() (Event, error) {
	for s.err == nil {
		raw, err := s.events.Next()
		switch {
		case err != nil:
			s.err = s.resume(err)
		case string(raw.Name) == errorEvent:
			s.err = s.eventError(raw.Data)
		case string(raw.Data) == doneMarker:
			s.events.Drain() // reads the trailers, and allows the connection to be reused
			s.err = io.EOF
		case s.accept(string(raw.ID)):
			return Event{ID: s.call.lastEventID, Data: raw.Data}, nil
		}
	}
	return Event{}, s.err
}

// Outcome reports whether the request ran. It is final once Next has returned an error.
func (s *Stream) Outcome() Outcome { return s.response.FinalOutcome() }

// Close closes the stream, and abandons the answer if it is not complete.
func (s *Stream) Close() error {
	if s.err == nil {
		s.err = context.Canceled
	}
	return s.response.Body.Close()
}

// accept records the position of an event. It returns false for an event that was
// received before.
func (s *Stream) accept(id string) bool {
	next, ok := parsePosition(id)
	if ok && next.attempt == s.position.attempt && next.number <= s.position.number {
		return false
	}
	if ok {
		s.position = next
	}
	if id != "" {
		s.call.lastEventID = id
	}
	s.resumes = 0
	return true
}

// resume continues the answer after a lost connection, if the system still has it.
func (s *Stream) resume(err error) error {
	_ = s.response.Body.Close()
	cutErr := &Error{
		Code: CodeCut, Step: "answer", Message: err.Error(), Outcome: OutcomeUnknown,
		Request: s.call.request.ID, cause: err,
	}
	if errors.Is(err, sse.ErrTooLarge) {
		return cutErr
	}
	s.resumes++
	s.call.tries = s.resumes
	if s.resumes > s.call.client.maxResumes || !s.call.waitForRetry(s.ctx, cutErr) {
		return cutErr
	}
	return s.open()
}

func (s *Stream) eventError(data []byte) error {
	e := parseError(data)
	e.Request = s.call.request.ID
	return e
}

// position is a parsed event id: endpoint, attempt and number.
type position struct {
	attempt string // with the endpoint as prefix
	number  uint64
}

func parsePosition(id string) (position, bool) {
	slash := strings.LastIndexByte(id, '/')
	if slash < 0 {
		return position{}, false
	}
	number, err := strconv.ParseUint(id[slash+1:], 10, 64)
	if err != nil {
		return position{}, false
	}
	return position{attempt: id[:slash], number: number}, true
}

package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	readBuffer = 4 << 10 // bytes
	slabSize   = 4 << 10 // bytes
)

// Event is one event of an answer.
type Event struct {
	// Sequence is the event's number from 1. Engines that send none are counted.
	Sequence uint64
	// Name is the event's type, empty for an ordinary piece.
	Name string
	// Data is the payload. It stays valid and belongs to the receiver.
	Data []byte
}

// Stream is one answer on its way. It is used by one goroutine at a time.
type Stream struct {
	exchange exchange
	response *http.Response
	reader   *bufio.Reader
	limit    int
	body     int64
	plain    bool
	last     uint64
	end      error
	slab     []byte
	closed   bool
}

func (c *Client) newStream(x exchange, response *http.Response, after uint64) *Stream {
	kind := response.Header.Get("Content-Type")
	return &Stream{
		exchange: x,
		response: response,
		reader:   bufio.NewReaderSize(response.Body, readBuffer),
		limit:    c.settings.eventLimit,
		body:     c.settings.bodyLimit,
		plain:    !strings.HasPrefix(kind, "text/event-stream"),
		last:     after,
	}
}

// Status returns the HTTP status of the answer.
func (s *Stream) Status() int { return s.response.StatusCode }

// Header returns the answer's headers.
func (s *Stream) Header() http.Header { return s.response.Header }

// Streaming tells whether the answer comes as events. If not, Next gives the
// whole body as one event.
func (s *Stream) Streaming() bool { return !s.plain }

// Next returns the next event. It returns io.EOF only after the end marker, and
// an error wrapping ErrCut when the answer closed without.
func (s *Stream) Next() (Event, error) {
	if s.end != nil {
		return Event{}, s.end
	}
	event, err := s.read()
	if err != nil {
		s.end = s.finish(err)
		return Event{}, s.end
	}
	return event, nil
}

// Close gives the answer up, or back if it is whole.
func (s *Stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.end == nil {
		s.end = s.finish(errors.New("closed by reader"))
	}
	return s.response.Body.Close()
}

func (s *Stream) finish(err error) error {
	if errors.Is(err, io.EOF) {
		s.exchange.span.End()
		return io.EOF
	}
	if !errors.Is(err, ErrTooLarge) {
		err = errors.Join(ErrCut, err)
	}
	return s.exchange.fail(fmt.Errorf("after event %d: %w", s.last, err))
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
		return Event{}, s.drain()
	}
	s.last = event.Sequence
	return event, nil
}

// drain reads up to the end of the body, so that its connection can be used
// again, and returns io.EOF.
func (s *Stream) drain() error {
	_, _ = io.CopyN(io.Discard, s.reader, readBuffer)
	return io.EOF
}

func (s *Stream) readBody() (Event, error) {
	if s.last > 0 {
		return Event{}, io.EOF
	}
	data, err := io.ReadAll(io.LimitReader(s.reader, s.body+1))
	if err != nil {
		return Event{}, cutError(err)
	}
	if int64(len(data)) > s.body {
		return Event{}, ErrTooLarge
	}
	s.last = 1
	return Event{Sequence: 1, Data: data}, nil
}

// readEvent reads lines up to an empty one. An event that the connection's end
// interrupts is dropped.
func (s *Stream) readEvent() (Event, error) {
	event := Event{Sequence: s.last + 1}
	fields := 0
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, cutError(err)
		}
		if len(line) > 0 {
			fields++
			s.take(&event, line)
			if len(event.Data) > s.limit {
				return Event{}, ErrTooLarge
			}
			continue
		}
		if event.Data != nil {
			return event, nil
		}
		if fields > 0 {
			event = Event{Sequence: s.last + 1}
		}
	}
}

// take adds one line to the event, as the server-sent events format says.
func (s *Stream) take(event *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		event.Data = s.keep(event.Data, value)
	case "event":
		event.Name = string(value)
	case "id":
		number, err := strconv.ParseUint(string(value), 10, 64)
		if err == nil {
			event.Sequence = number
		}
	}
}

// keep copies a value into memory that is shared by several events and never
// written twice.
func (s *Stream) keep(before, value []byte) []byte {
	if before != nil {
		joined := append(bytes.Clone(before), '\n')
		return append(joined, value...)
	}
	if len(value) == 0 {
		return []byte{}
	}
	if len(value) > slabSize/4 {
		return bytes.Clone(value)
	}
	if cap(s.slab)-len(s.slab) < len(value) {
		s.slab = make([]byte, 0, slabSize)
	}
	start := len(s.slab)
	s.slab = append(s.slab, value...)
	return s.slab[start:len(s.slab):len(s.slab)]
}

// readLine returns one line without its end. It is valid until the next read.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLong(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readLong(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= s.limit {
		more, err := s.reader.ReadSlice('\n')
		long = append(long, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
	return nil, ErrTooLarge
}

// cutError keeps a body's early end apart from the end marker's io.EOF.
func cutError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

package httpconn

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a response that HTTP doesn't allow. Whether its request had an effect is not known.
var ErrMalformed = errors.New("malformed response")

// headPart is a part of a response's head.
type headPart string

const (
	partProtocol headPart = "protocol"
	partStatus   headPart = "status"
	partReason   headPart = "reason"
	partLine     headPart = "line" // the beginning of a line after the first
	partName     headPart = "name"
	partValue    headPart = "value"
	partEnd      headPart = "end" // the CR of the empty line was read
	partBody     headPart = "body"
)

// statusDigits is the length of a status.
const statusDigits = 3

// headScanner looks for fields in the heads of a response whose names are no tokens. net/http takes blanks as a
// part of a name, which then isn't that of a known field, joins a line that begins with a blank to the one before,
// and ends lines at a LF without a CR. It reads another answer from such a head than its sender may have meant.
type headScanner struct {
	part   headPart
	status []byte // the beginning of it
	cr     bool   // the last byte was a CR
	crlf   bool   // the first line ends with CRLF
}

// newHeadScanner returns a scanner at the beginning of a response.
func newHeadScanner() headScanner { return headScanner{part: partProtocol} }

// scan scans the next bytes of a response. It passes over the body.
func (h *headScanner) scan(text []byte) error {
	for _, b := range text {
		if h.part == partBody {
			return nil
		}
		if err := h.next(b); err != nil {
			return err
		}
		h.cr = b == '\r'
	}
	return nil
}

func (h *headScanner) next(b byte) error {
	switch {
	case b == '\n':
		return h.endLine()
	case h.part == partProtocol && b == ' ':
		h.part = partStatus
	case h.part == partStatus:
		h.readStatus(b)
	case h.part == partLine && b == '\r':
		h.part = partEnd
	case h.part == partEnd:
		return errName('\r')
	case h.part == partLine || h.part == partName:
		return h.readName(b)
	}
	return nil
}

// endLine ends a line with its LF.
func (h *headScanner) endLine() error {
	switch {
	case h.part == partName:
		return fmt.Errorf("%w: a line of the head has no colon", ErrMalformed)
	case h.part == partProtocol || h.part == partStatus || h.part == partReason:
		h.part, h.crlf = partLine, h.cr
	case h.crlf && !h.cr:
		return fmt.Errorf("%w: a line of the head ends with LF alone", ErrMalformed)
	case h.part == partValue:
		h.part = partLine
	case h.isInterim():
		*h = newHeadScanner()
	default:
		h.part = partBody
	}
	return nil
}

// readStatus reads a byte of the status, before which net/http passes over blanks.
func (h *headScanner) readStatus(b byte) {
	switch {
	case b == ' ' && len(h.status) == 0:
	case b == ' ' || len(h.status) == statusDigits:
		h.part = partReason
	default:
		h.status = append(h.status, b)
	}
}

// isInterim reports whether another head follows this one.
func (h *headScanner) isInterim() bool {
	return len(h.status) == statusDigits && h.status[0] == '1' && string(h.status) != "101"
}

// readName reads a byte of a field's name or the colon after it.
func (h *headScanner) readName(b byte) error {
	switch {
	case b == ':' && h.part == partName:
		h.part = partValue
	case !httpguts.IsTokenRune(rune(b)):
		return errName(b)
	default:
		h.part = partName
	}
	return nil
}

func errName(b byte) error {
	return fmt.Errorf("%w: byte %q in the name of a field", ErrMalformed, b)
}

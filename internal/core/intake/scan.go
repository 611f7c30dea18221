package intake

import "bytes"

// lineScanner splits a text that arrives in parts into lines, which end with LF or CRLF.
type lineScanner struct {
	text, cr bool // of the line so far
}

// next scans up to the end of a line, and reports whether it is there and whether the line is empty.
func (s *lineScanner) next(part []byte) (n int, empty, end bool) {
	i := bytes.IndexByte(part, '\n')
	if i < 0 {
		s.observe(part)
		return len(part), false, false
	}
	s.observe(part[:i])
	empty = !s.text
	*s = lineScanner{}
	return i + 1, empty, true
}

func (s *lineScanner) observe(part []byte) {
	switch {
	case len(part) == 0:
	case s.cr || len(part) > 1 || part[0] != '\r':
		s.text = true
	default:
		s.cr = true
	}
}

// HeadScanner finds the end of a request's head, the first empty line after its first line.
type HeadScanner struct {
	line        lineScanner
	size, lines int
}

// Scan scans the next part of a text, and returns how much of it belongs to the head and whether the head
// ends there.
func (s *HeadScanner) Scan(part []byte) (n int, whole bool) {
	for n < len(part) && !whole {
		read, empty, end := s.line.next(part[n:])
		n += read
		switch {
		case !end:
		case !empty:
			s.lines++
		default:
			whole = s.lines > 0 // servers pass over empty lines before a request
		}
	}
	s.size += n
	return n, whole
}

// Size is the size of the head so far in bytes, Lines the number of its lines.
func (s *HeadScanner) Size() int { return s.size }

// Lines is the number of lines of the head so far.
func (s *HeadScanner) Lines() int { return s.lines }

// BodyScanner finds the end of a request's body.
type BodyScanner interface {
	// Scan scans the next part of a text, and returns how much of it belongs to the body and whether the
	// body ends there.
	Scan(part []byte) (n int, whole bool)
}

// LengthScanner is the BodyScanner of a body whose length is stated: the number of bytes to come.
type LengthScanner int64

// Scan implements BodyScanner.
func (s *LengthScanner) Scan(part []byte) (n int, whole bool) {
	n = int(min(int64(len(part)), int64(*s)))
	*s -= LengthScanner(n)
	return n, *s == 0
}

// chunkPart is a part of a body in chunks.
type chunkPart string

const (
	chunkSize    chunkPart = "size"
	chunkData    chunkPart = "data"
	chunkEnd     chunkPart = "end"
	chunkTrailer chunkPart = "trailer"
	// chunkBroken: the server rejects the body.
	chunkBroken chunkPart = "broken"
)

const (
	maxSizeDigits = 16
	lineEnd       = uint64(len("\r\n"))
)

// ChunkScanner is the BodyScanner of a body in chunks. What a server rejects has no end.
type ChunkScanner struct {
	part      chunkPart
	left      uint64 // bytes of the data or of the end of the chunk
	digits    int    // of the size
	extension bool   // of the size's line has begun
	line      lineScanner
	trailers  int // lines after the last chunk
}

// NewChunkScanner returns a scanner at the beginning of a body.
func NewChunkScanner() *ChunkScanner { return &ChunkScanner{part: chunkSize} }

// Scan implements BodyScanner.
func (s *ChunkScanner) Scan(part []byte) (n int, whole bool) {
	for n < len(part) && !whole {
		switch s.part {
		case chunkSize:
			s.readSize(part[n])
			n++
		case chunkData, chunkEnd:
			read := min(uint64(len(part)-n), s.left)
			n += int(read)
			s.left -= read
			s.endPart()
		case chunkTrailer:
			read, empty, end := s.line.next(part[n:])
			n += read
			whole = end && empty
			if end && !empty {
				s.trailers++
			}
		case chunkBroken:
			n = len(part)
		}
	}
	return n, whole
}

func (s *ChunkScanner) endPart() {
	switch {
	case s.left > 0:
	case s.part == chunkData:
		s.part, s.left = chunkEnd, lineEnd
	default:
		*s = *NewChunkScanner()
	}
}

func (s *ChunkScanner) readSize(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\n' && s.digits == 0:
		s.part = chunkBroken
	case b == '\n' && s.left == 0:
		s.part = chunkTrailer
	case b == '\n':
		s.part = chunkData
	case s.extension:
	case !isDigit:
		s.extension = true
	case s.digits == maxSizeDigits:
		s.part = chunkBroken
	default:
		s.left, s.digits = s.left<<4|digit, s.digits+1
	}
}

func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	default:
		return 0, false
	}
}

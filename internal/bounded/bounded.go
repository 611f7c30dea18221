// Package bounded reads messages of other processes up to a size.
package bounded

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for a message that is larger than its reader accepts, or has no end.
var ErrTooLarge = errors.New("message too large")

// ReadAll reads a message up to its end. A message of more than limit bytes is an error that
// wraps ErrTooLarge, so that its beginning isn't taken for the whole.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return text, nil
}

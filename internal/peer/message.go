// Package peer speaks gRPC between chiverampd instances.
package peer

import (
	"errors"
	"io"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Errors of the client. Each returned error wraps one of them and names the step and the peer.
var (
	// ErrNotSent: no byte of the request reached the peer.
	ErrNotSent = errors.New("not sent")
	// ErrCut: the stream ended without its closing message.
	ErrCut = errors.New("stream cut")
)

// Request is a submitted request with its body.
type Request struct {
	*peerpb.Submit
	Body io.Reader
}

// Sink takes the answer of a request, piece by piece, in order.
type Sink interface {
	Head(*peerpb.Head) error
	Data(*peerpb.Data) error
}

// Package peer implements the gRPC client and server between chiverampd instances.
package peer

import (
	"errors"
	"io"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Errors of the client. Errors of Serve and Resume wrap one of them or the sink's own error, and
// name the operation and the peer.
var (
	// ErrNotSent means that no byte of the request reached the peer.
	ErrNotSent = errors.New("not sent")
	// ErrInterrupted means that the stream ended without its End message.
	ErrInterrupted = errors.New("stream interrupted")
)

// Request is a submit message with the body that follows it.
type Request struct {
	*peerpb.Submit
	Body io.Reader
	// Rerun is set if an earlier attempt may have run. It is not sent to peers.
	Rerun bool
}

// Sink receives the answer of a request as a stream of messages, in order.
type Sink interface {
	Head(*peerpb.Head) error
	Data(*peerpb.Data) error
}

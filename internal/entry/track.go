package entry

import (
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/stream"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// errMissingPieces is returned if a piece is too far ahead of the one expected next.
var errMissingPieces = errors.New("pieces of the answer are missing")

// attemptLimit bounds the attempts of one answer, including hops to other data centres. The
// retry budget bounds them further.
const attemptLimit = 8

// Restarter is a sink that can receive an answer again from its start, since nothing of it has
// reached the caller yet.
type Restarter interface {
	// Restart discards what was received and reports whether that was possible.
	Restart() bool
}

// answerTracker forwards the pieces of the current attempt to the sink, each once and in order.
type answerTracker struct {
	sink          peer.Sink
	clock         func() time.Time
	assembly      *stream.Assembly
	splice        *stream.Splice // set if the answer is continued on another endpoint
	headReceived  bool           // the head of the current attempt has been received
	headForwarded bool           // a head has been sent to the sink
	firstPiece    []byte         // of the answer, to splice a continuation to it
	sinkErr       error          // last error of the sink

	pieces       int
	firstPieceAt time.Time
	lastPieceAt  time.Time
}

func newAnswerTracker(sink peer.Sink, clock func() time.Time) *answerTracker {
	return &answerTracker{sink: sink, clock: clock, assembly: stream.New(stream.WithMaxAttempts(attemptLimit))}
}

// begin starts a new attempt. The ID is empty if it is known only from the head.
func (t *answerTracker) begin(attempt string, endpoint fleet.Endpoint) {
	t.assembly.Begin(attempt, endpoint)
	t.headReceived = false
}

// Head implements peer.Sink. It forwards only the first head of an answer, and that of an
// attempt that continues it, since its pieces are then resumed from another endpoint.
func (t *answerTracker) Head(h *peerpb.Head) error {
	if t.assembly.Attempt() == "" {
		t.assembly.Begin(h.Attempt, fleet.Endpoint(h.Endpoint))
	}
	if h.Attempt != t.assembly.Attempt() {
		return nil
	}
	t.headReceived = true
	if t.headForwarded && t.splice == nil {
		return nil
	}
	t.headForwarded = true
	t.sinkErr = t.sink.Head(h)
	return t.sinkErr
}

// Data implements peer.Sink. Pieces of other attempts and duplicates are dropped.
func (t *answerTracker) Data(d *peerpb.Data) error {
	pieces, result := t.assembly.Add(t.clock(), stream.Piece{Attempt: d.Attempt, Offset: d.Offset, Data: d.Data})
	if result == stream.ResultTooFarAhead {
		return errMissingPieces
	}
	for _, piece := range pieces {
		if err := t.forward(piece); err != nil {
			return err
		}
	}
	return nil
}

func (t *answerTracker) forward(piece stream.Piece) error {
	t.recordPiece(piece.Data)
	data := piece.Data
	if t.splice != nil {
		spliced, err := t.splice.Apply(data)
		if err != nil {
			return err
		}
		data = spliced
	}
	t.sinkErr = t.sink.Data(&peerpb.Data{Attempt: piece.Attempt, Offset: piece.Offset, Data: data})
	return t.sinkErr
}

func (t *answerTracker) recordPiece(data []byte) {
	t.lastPieceAt = t.clock()
	if t.pieces == 0 {
		t.firstPieceAt, t.firstPiece = t.lastPieceAt, data
	}
	t.pieces++
}

// prepareRetry prepares the next attempt after a loss: from the start if nothing has reached
// the caller, else as a continuation of the text sent so far. It reports false if neither is
// possible.
func (t *answerTracker) prepareRetry(p *plan, end *peerpb.End) bool {
	if r, ok := t.sink.(Restarter); ok && t.headForwarded {
		t.headForwarded = !r.Restart()
		t.assembly = stream.New(stream.WithMaxAttempts(attemptLimit))
		return !t.headForwarded
	}
	decision := t.assembly.Interrupted(t.clock(), t.assembly.Attempt(), lossOf(end.Code))
	switch decision.Step {
	case stream.StepRestart:
		return true
	case stream.StepContinue:
		return !switches.Off(switches.Continue) && t.prepareContinuation(p, decision)
	default:
		return false
	}
}

// complete reports whether all pieces of a streamed answer were forwarded and only the end
// marker was lost with the endpoint.
func (t *answerTracker) complete(p *plan, end *peerpb.End) bool {
	lost := end.Code == dispatch.CodeLost || end.Code == dispatch.CodeGone
	return lost && p.request.Stream && p.request.Service == "" && t.assembly.Finished(t.clock(), p.original)
}

func lossOf(code string) stream.Loss {
	switch code {
	case dispatch.CodeLost:
		return stream.LossEndpoint
	case dispatch.CodeGone:
		return stream.LossAttempt
	default:
		return stream.LossUnsent
	}
}

func (t *answerTracker) prepareContinuation(p *plan, d stream.Decision) bool {
	body, err := stream.ContinueBody(p.original, d.Text, d.Tokens)
	if err != nil {
		return false
	}
	splice, err := stream.NewSplice(t.firstPiece, d.Tokens)
	if err != nil {
		return false
	}
	p.attemptBody, t.splice = body, &splice
	return true
}
